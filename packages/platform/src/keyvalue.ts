import * as decision from "@citronlead/decision";
import * as http from "node:http";
import * as zod from "zod";
import * as jsonCall from "./http.js";

/** A value read from the key-value service. */
export interface Entry {
    readonly key: string;
    readonly value: string;
    /** The service's revision at which the key was last written. */
    readonly modRevision: number;
    /** The service's revision at which the key was made. */
    readonly createRevision: number;
    /** The lease that the key ends with, or "0". */
    readonly lease: string;
}

/** A read of one key or of all keys with a prefix, at one revision of the service. */
export interface Snapshot {
    readonly entries: readonly Entry[];
    readonly revision: number;
}

/** What a key must look like for a write to take effect. A revision of 0 means that the key must not exist. */
export interface Comparison {
    readonly key: string;
    readonly modRevision: number;
}

/** One change within a write. */
export type Change =
    | { readonly kind: ChangeKind.Put; readonly key: string; readonly value: string; readonly lease?: string; }
    | { readonly kind: ChangeKind.Delete; readonly key: string; };

/** The kinds of change. */
export enum ChangeKind {
    Put = "put",
    Delete = "delete",
}

/** The result of a compare-and-swap. */
export interface Swap {
    /** Whether every comparison held and the changes took effect. */
    readonly succeeded: boolean;
    /** The service's revision after the call. */
    readonly revision: number;
    /** What the compared keys hold, when the comparison failed. */
    readonly current: readonly Entry[];
}

/** A lease of the key-value service. */
export interface Lease {
    readonly id: string;
    /** Time to live in seconds, 0 when the lease is gone. */
    readonly timeToLiveSeconds: number;
}

/** The key-value service. Every call yields an outcome; none throws for a failure of the service. */
export interface KeyValue {
    readonly read: (key: string) => Promise<decision.Outcome<Snapshot>>;
    readonly readPrefix: (prefix: string) => Promise<decision.Outcome<Snapshot>>;
    /** Carries out all changes at once if every comparison holds. */
    readonly swap: (
        comparisons: readonly Comparison[],
        changes: readonly Change[],
    ) => Promise<decision.Outcome<Swap>>;
    readonly grantLease: (timeToLiveSeconds: number) => Promise<decision.Outcome<Lease>>;
    readonly keepLease: (id: string) => Promise<decision.Outcome<Lease>>;
    readonly revokeLease: (id: string) => Promise<decision.Outcome<undefined>>;
}

/** How to reach the key-value service. */
export interface KeyValueOptions {
    /** Base addresses, such as http://127.0.0.1:7000. Tried in order until one can be reached. */
    readonly addresses: readonly string[];
    readonly timeoutMs: decision.Milliseconds;
    readonly agent?: http.Agent;
}

const entrySchema = zod.object({
    key: zod.string(),
    value: zod.string().default(""),
    mod_revision: zod.coerce.number().default(0),
    create_revision: zod.coerce.number().default(0),
    lease: zod.string().default("0"),
});
const headerSchema = zod.object({ revision: zod.coerce.number().default(0) });
const rangeSchema = zod.object({ header: headerSchema, kvs: zod.array(entrySchema).default([]) });
const swapSchema = zod.object({
    header: headerSchema,
    succeeded: zod.boolean().default(false),
    responses: zod.array(zod.object({ response_range: rangeSchema.partial().optional() })).default([]),
});
const leaseSchema = zod.object({ ID: zod.string(), TTL: zod.coerce.number().default(0) });
const keepAliveSchema = zod.object({ result: leaseSchema });

/** Encodes text as the base64 that the protocol's JSON form uses for bytes. */
export function encodeBytes(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes the base64 of the protocol's JSON form. */
export function decodeBytes(base64: string): string {
    return Buffer.from(base64, "base64").toString("utf8");
}

/** The end of the range that holds every key with the prefix. */
export function prefixEnd(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/** Turns an entry of the protocol into ours. */
export function toEntry(wire: zod.infer<typeof entrySchema>): Entry {
    return {
        key: decodeBytes(wire.key),
        value: decodeBytes(wire.value),
        modRevision: wire.mod_revision,
        createRevision: wire.create_revision,
        lease: wire.lease,
    };
}

/** Checks an entry of the protocol. */
export const entryShape = entrySchema;

/** Makes a client of the key-value service. */
export function connectKeyValue(options: KeyValueOptions): KeyValue {
    const call = <Shape extends zod.ZodType>(path: string, body: unknown, shape: Shape) =>
        callFirstReachable(options, path, body, shape);
    const range = async (body: unknown): Promise<decision.Outcome<Snapshot>> =>
        map(await call("/v3/kv/range", body, rangeSchema), (answer) => ({
            entries: answer.kvs.map(toEntry),
            revision: answer.header.revision,
        }));
    return {
        read: (key) => range({ key: encodeBytes(key) }),
        readPrefix: (prefix) => range({ key: encodeBytes(prefix), range_end: encodeBytes(prefixEnd(prefix)) }),
        swap: async (comparisons, changes) =>
            map(await call("/v3/kv/txn", swapBody(comparisons, changes), swapSchema), toSwap),
        grantLease: async (seconds) =>
            map(await call("/v3/lease/grant", { TTL: String(seconds), ID: "0" }, leaseSchema), toLease),
        keepLease: async (id) =>
            map(await call("/v3/lease/keepalive", { ID: id }, keepAliveSchema), (answer) => toLease(answer.result)),
        revokeLease: async (id) => map(await call("/v3/lease/revoke", { ID: id }, zod.unknown()), () => undefined),
    };
}

/** Applies a function to the value of an outcome that has one. */
export function map<From, To>(outcome: decision.Outcome<From>, convert: (value: From) => To): decision.Outcome<To> {
    return outcome.effect === decision.Effect.Known ? decision.known(convert(outcome.value)) : outcome;
}

async function callFirstReachable<Shape extends zod.ZodType>(
    options: KeyValueOptions,
    path: string,
    body: unknown,
    shape: Shape,
): Promise<decision.Outcome<zod.infer<Shape>>> {
    let last: decision.Outcome<zod.infer<Shape>> = decision.noEffect("no address");
    for (const address of options.addresses) {
        const outcome = await jsonCall.callJson({
            url: address + path,
            body,
            timeoutMs: options.timeoutMs,
            agent: options.agent,
        });
        last = checkAnswer(outcome, shape);
        if (last.effect !== decision.Effect.None) {
            return last;
        }
    }
    return last;
}

function checkAnswer<Shape extends zod.ZodType>(
    outcome: decision.Outcome<jsonCall.JsonAnswer>,
    shape: Shape,
): decision.Outcome<zod.infer<Shape>> {
    if (outcome.effect !== decision.Effect.Known) {
        return outcome;
    }
    if (outcome.value.status !== 200) {
        return decision.unknownEffect(`status ${outcome.value.status}`);
    }
    const parsed = shape.safeParse(outcome.value.body);
    return parsed.success ? decision.known(parsed.data) : decision.unknownEffect("answer has an unknown shape");
}

function swapBody(comparisons: readonly Comparison[], changes: readonly Change[]): unknown {
    return {
        compare: comparisons.map((comparison) => ({
            key: encodeBytes(comparison.key),
            result: "EQUAL",
            target: "MOD",
            mod_revision: String(comparison.modRevision),
        })),
        success: changes.map((change) =>
            change.kind === ChangeKind.Put
                ? {
                    request_put: {
                        key: encodeBytes(change.key),
                        value: encodeBytes(change.value),
                        lease: change.lease ?? "0",
                    },
                }
                : { request_delete_range: { key: encodeBytes(change.key) } }
        ),
        failure: comparisons.map((comparison) => ({ request_range: { key: encodeBytes(comparison.key) } })),
    };
}

function toSwap(answer: zod.infer<typeof swapSchema>): Swap {
    const current = answer.responses.flatMap((response) => response.response_range?.kvs ?? []).map(toEntry);
    return { succeeded: answer.succeeded, revision: answer.header.revision, current };
}

function toLease(wire: zod.infer<typeof leaseSchema>): Lease {
    return { id: wire.ID, timeToLiveSeconds: wire.TTL };
}
