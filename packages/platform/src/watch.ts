import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import * as zod from "zod";
import * as keyvalue from "./keyvalue.js";

/** The kinds of thing that a watch tells. */
export enum WatchEventKind {
    /** The service confirmed the watch; changes from now on will be told. */
    Started = "started",
    /** A key was written. */
    Put = "put",
    /** A key was deleted, or its lease ended. */
    Delete = "delete",
    /** Nothing changed, but the service was heard from. */
    Progress = "progress",
    /** The watch broke. Changes may have been missed: read again before relying on it. */
    Broken = "broken",
}

/** What a watch tells. */
export type WatchEvent =
    | { readonly kind: WatchEventKind.Put; readonly entry: keyvalue.Entry; }
    | { readonly kind: WatchEventKind.Delete; readonly key: string; readonly revision: number; }
    | { readonly kind: WatchEventKind.Started | WatchEventKind.Progress; readonly revision: number; }
    | { readonly kind: WatchEventKind.Broken; readonly reason: string; };

/** What to watch. */
export interface WatchOptions {
    readonly address: string;
    readonly prefix: string;
    /** The first revision of interest; 0 for only what comes. */
    readonly fromRevision: number;
    /** A watch that tells nothing for this long is taken for broken, in milliseconds. */
    readonly silenceMs: decision.Milliseconds;
    readonly agent?: http.Agent;
}

/** The longest frame that is read, in characters: a value of a megabyte in base64, with room to spare. */
const FRAME_LIMIT = 4 * 1024 * 1024;

const frameSchema = zod.object({
    result: zod.object({
        header: zod.object({ revision: zod.coerce.number().default(0) }),
        created: zod.boolean().default(false),
        canceled: zod.boolean().default(false),
        events: zod.array(zod.object({
            type: zod.enum(["PUT", "DELETE"]).default("PUT"),
            kv: keyvalue.entryShape,
        })).default([]),
    }),
});

/** Watches a prefix until the scope closes or the watch breaks. Tells Broken once, as the last event. */
export function watch(
    scope: lifecycle.Lifecycle,
    options: WatchOptions,
    tell: (event: WatchEvent) => void,
): void {
    let ended = false;
    const end = (reason: string) => {
        if (!ended) {
            ended = true;
            clearTimeout(silence);
            request.destroy();
            void release();
            tell({ kind: WatchEventKind.Broken, reason });
        }
    };
    const release = scope.own(() => {
        ended = true;
        clearTimeout(silence);
        request.destroy();
    });
    const body = JSON.stringify({
        create_request: {
            key: keyvalue.encodeBytes(options.prefix),
            range_end: keyvalue.encodeBytes(keyvalue.prefixEnd(options.prefix)),
            start_revision: String(options.fromRevision),
            progress_notify: true,
        },
    });
    const request = http.request(`${options.address}/v3/watch`, {
        method: "POST",
        agent: options.agent,
        headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
    });
    const silence = setTimeout(() => end("silence"), options.silenceMs);
    request.on("error", (error) => end(error.message));
    request.on("response", (response) => {
        response.on("error", (error) => end(error.message));
        response.on("end", () => end("the service ended the watch"));
        readLines(response, (line) => {
            if (ended) {
                return;
            }
            silence.refresh();
            const problem = tellFrame(line, tell);
            if (problem) {
                end(problem);
            }
        }, end);
    });
    request.end(body);
}

function readLines(response: http.IncomingMessage, take: (line: string) => void, fail: (reason: string) => void): void {
    let rest = "";
    response.setEncoding("utf8");
    response.on("data", (piece: string) => {
        const lines = (rest + piece).split("\n");
        rest = lines.pop() ?? "";
        if (rest.length > FRAME_LIMIT) {
            fail("frame too long");
            return;
        }
        lines.filter((line) => line.trim() !== "").forEach(take);
    });
}

/** Tells what a frame says. Returns what is wrong with it, if anything. */
function tellFrame(line: string, tell: (event: WatchEvent) => void): string | undefined {
    let json: unknown;
    try {
        json = JSON.parse(line);
    }
    catch {
        return "frame is not JSON";
    }
    const parsed = frameSchema.safeParse(json);
    if (!parsed.success) {
        return "frame has an unknown shape";
    }
    const frame = parsed.data.result;
    if (frame.canceled) {
        return "the service cancelled the watch";
    }
    if (frame.created) {
        tell({ kind: WatchEventKind.Started, revision: frame.header.revision });
    }
    for (const event of frame.events) {
        const entry = keyvalue.toEntry(event.kv);
        tell(
            event.type === "PUT"
                ? { kind: WatchEventKind.Put, entry }
                : { kind: WatchEventKind.Delete, key: entry.key, revision: entry.modRevision },
        );
    }
    if (!frame.created && frame.events.length === 0) {
        tell({ kind: WatchEventKind.Progress, revision: frame.header.revision });
    }
    return undefined;
}
