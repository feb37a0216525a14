import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import * as zod from "zod";
import * as keyvalue from "./keyvalue.js";

/** Kinds of watch event. */
export enum WatchEventKind {
    /** The service confirmed the watch; changes from now on will be reported. */
    Started = "started",
    /** A key was written. */
    Put = "put",
    /** A key was deleted, by a call or by the end of its lease. */
    Delete = "delete",
    /** The service sent a message without a change. */
    Progress = "progress",
    /** The watch ended. Changes may have been missed, so the keys have to be read again. */
    Broken = "broken",
}

/** An event of a watch. */
export type WatchEvent =
    | { readonly kind: WatchEventKind.Put; readonly entry: keyvalue.Entry; }
    | { readonly kind: WatchEventKind.Delete; readonly key: string; readonly revision: number; }
    | { readonly kind: WatchEventKind.Started | WatchEventKind.Progress; readonly revision: number; }
    | { readonly kind: WatchEventKind.Broken; readonly reason: string; };

/** Options of a watch. */
export interface WatchOptions {
    readonly address: string;
    readonly prefix: string;
    /** The first revision to report changes of; 0 for changes from now on only. */
    readonly fromRevision: number;
    /** A watch without any message for this long is treated as broken. */
    readonly silenceMs: decision.Milliseconds;
    readonly agent?: http.Agent;
}

/** Maximum length of a frame: enough for a value of one megabyte in base64, with a margin. */
const MAX_FRAME_CHARACTERS = 4 * 1024 * 1024;

const frameSchema = zod.object({
    result: zod.object({
        header: zod.object({ revision: zod.coerce.number().default(0) }),
        created: zod.boolean().default(false),
        canceled: zod.boolean().default(false),
        events: zod.array(zod.object({
            type: zod.enum(["PUT", "DELETE"]).default("PUT"),
            kv: keyvalue.entrySchema,
        })).default([]),
    }),
});

/** Watches a prefix until the scope closes or the watch breaks, which is reported once, as the last event. */
export function watch(
    scope: lifecycle.Scope,
    options: WatchOptions,
    onEvent: (event: WatchEvent) => void,
): void {
    let ended = false;
    const breakWatch = (reason: string) => {
        if (!ended) {
            ended = true;
            clearTimeout(idleTimer);
            request.destroy();
            void release();
            onEvent({ kind: WatchEventKind.Broken, reason });
        }
    };
    const release = scope.defer(() => {
        ended = true;
        clearTimeout(idleTimer);
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
    const idleTimer = setTimeout(() => breakWatch("no message within the idle timeout"), options.silenceMs);
    request.on("error", (error) => breakWatch(error.message));
    request.on("response", (response) => {
        response.on("error", (error) => breakWatch(error.message));
        response.on("end", () => breakWatch("the service ended the watch"));
        readLines(response, (line) => {
            if (ended) {
                return;
            }
            idleTimer.refresh();
            const problem = reportFrame(line, onEvent);
            if (problem) {
                breakWatch(problem);
            }
        }, breakWatch);
    });
    request.end(body);
}

function readLines(
    response: http.IncomingMessage,
    onLine: (line: string) => void,
    fail: (reason: string) => void,
): void {
    let partialLine = "";
    response.setEncoding("utf8");
    response.on("data", (chunk: string) => {
        const lines = (partialLine + chunk).split("\n");
        partialLine = lines.pop() ?? "";
        if (partialLine.length > MAX_FRAME_CHARACTERS) {
            fail("frame exceeds the length limit");
            return;
        }
        lines.filter((line) => line.trim() !== "").forEach(onLine);
    });
}

/** Reports the events in a frame. Returns the reason if the frame is invalid or ends the watch. */
function reportFrame(line: string, onEvent: (event: WatchEvent) => void): string | undefined {
    let json: unknown;
    try {
        json = JSON.parse(line);
    }
    catch {
        return "frame is not valid JSON";
    }
    const parsed = frameSchema.safeParse(json);
    if (!parsed.success) {
        return "frame does not match the expected schema";
    }
    const frame = parsed.data.result;
    if (frame.canceled) {
        return "the service cancelled the watch";
    }
    if (frame.created) {
        onEvent({ kind: WatchEventKind.Started, revision: frame.header.revision });
    }
    for (const event of frame.events) {
        const entry = keyvalue.toEntry(event.kv);
        onEvent(
            event.type === "PUT"
                ? { kind: WatchEventKind.Put, entry }
                : { kind: WatchEventKind.Delete, key: entry.key, revision: entry.modRevision },
        );
    }
    if (!frame.created && frame.events.length === 0) {
        onEvent({ kind: WatchEventKind.Progress, revision: frame.header.revision });
    }
    return undefined;
}
