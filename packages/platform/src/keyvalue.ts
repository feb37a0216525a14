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
    /** The service's revision at which the key was created. */
    readonly createRevision: number;
    /** The lease whose end deletes the key, or "0" for none. */
    readonly lease: string;
}

/** A read of one key or of all keys with a prefix, at one revision of the service. */
export interface Snapshot {
    readonly entries: readonly Entry[];
    readonly revision: number;
}

/** A condition for a write: the key's last write must be at this revision. 0 means that the key must not exist. */
export interface Comparison {
    readonly key: string;
    readonly modRevision: number;
}

/** One change within a write. */
export type Change =
    | { readonly kind: ChangeKind.Put; readonly key: string; readonly value: string; readonly lease?: string; }
    | { readonly kind: ChangeKind.Delete; readonly key: string; };

/** Kinds of change. */
export enum ChangeKind {
    Put = "put",
    Delete = "delete",
}

/** The result of a compare-and-swap. */
export interface SwapResult {
    /** Whether all comparisons held and the changes took effect. */
    readonly succeeded: boolean;
    /** The service's revision after the call. */
    readonly revision: number;
    /** The current entries of the compared keys if a comparison failed, else empty. */
    readonly current: readonly Entry[];
}

/** A lease of the key-value service. */
export interface Lease {
    readonly id: string;
    /** 0 if the lease no longer exists. */
    readonly timeToLiveSeconds: number;
}

/** The key-value service. A failure of the service is reported as an outcome and never thrown. */
export interface KeyValue {
    readonly read: (key: string) => Promise<decision.Outcome<Snapshot>>;
    readonly readPrefix: (prefix: string) => Promise<decision.Outcome<Snapshot>>;
    /** Applies all changes atomically if all comparisons hold. */
    readonly swap: (
        comparisons: readonly Comparison[],
        changes: readonly Change[],
    ) => Promise<decision.Outcome<SwapResult>>;
    readonly grantLease: (timeToLiveSeconds: number) => Promise<decision.Outcome<Lease>>;
    readonly renewLease: (id: string) => Promise<decision.Outcome<Lease>>;
    readonly revokeLease: (id: string) => Promise<decision.Outcome<undefined>>;
}

/** Connection options of the key-value service. */
export interface KeyValueOptions {
    /** Base URLs, such as http://127.0.0.1:7000, tried in order until one can be reached. */
    readonly addresses: readonly string[];
    readonly timeoutMs: decision.Milliseconds;
    readonly agent?: http.Agent;
}

const keyValueSchema = zod.object({
    key: zod.string(),
    value: zod.string().default(""),
    mod_revision: zod.coerce.number().default(0),
    create_revision: zod.coerce.number().default(0),
    lease: zod.string().default("0"),
});
const headerSchema = zod.object({ revision: zod.coerce.number().default(0) });
const rangeSchema = zod.object({ header: headerSchema, kvs: zod.array(keyValueSchema).default([]) });
const swapSchema = zod.object({
    header: headerSchema,
    succeeded: zod.boolean().default(false),
    responses: zod.array(zod.object({ response_range: rangeSchema.partial().optional() })).default([]),
});
const leaseSchema = zod.object({ ID: zod.string(), TTL: zod.coerce.number().default(0) });
const keepAliveSchema = zod.object({ result: leaseSchema });

/** Encodes text as base64, which the protocol's JSON form uses for bytes. */
export function encodeBytes(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes the base64 of the protocol's JSON form. */
export function decodeBytes(base64: string): string {
    return Buffer.from(base64, "base64").toString("utf8");
}

/** The exclusive end of the range of all keys with the prefix. */
export function prefixEnd(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/** Converts a key-value pair of the protocol. */
export function toEntry(wire: zod.infer<typeof keyValueSchema>): Entry {
    return {
        key: decodeBytes(wire.key),
        value: decodeBytes(wire.value),
        modRevision: wire.mod_revision,
        createRevision: wire.create_revision,
        lease: wire.lease,
    };
}

/** Schema of a key-value pair in the protocol's JSON form. */
export const entrySchema = keyValueSchema;

/** Makes a client of the key-value service. */
export function connectKeyValue(options: KeyValueOptions): KeyValue {
    const call = <Schema extends zod.ZodType>(path: string, body: unknown, schema: Schema) =>
        callFirstReachable(options, path, body, schema);
    const range = async (body: unknown): Promise<decision.Outcome<Snapshot>> =>
        mapOutcome(await call("/v3/kv/range", body, rangeSchema), (response) => ({
            entries: response.kvs.map(toEntry),
            revision: response.header.revision,
        }));
    return {
        read: (key) => range({ key: encodeBytes(key) }),
        readPrefix: (prefix) => range({ key: encodeBytes(prefix), range_end: encodeBytes(prefixEnd(prefix)) }),
        swap: async (comparisons, changes) =>
            mapOutcome(await call("/v3/kv/txn", swapBody(comparisons, changes), swapSchema), toSwap),
        grantLease: async (seconds) =>
            mapOutcome(await call("/v3/lease/grant", { TTL: String(seconds), ID: "0" }, leaseSchema), toLease),
        renewLease: async (id) =>
            mapOutcome(
                await call("/v3/lease/keepalive", { ID: id }, keepAliveSchema),
                (response) => toLease(response.result),
            ),
        revokeLease: async (id) =>
            mapOutcome(await call("/v3/lease/revoke", { ID: id }, zod.unknown()), () => undefined),
    };
}

/** Converts the value of a known outcome and returns other outcomes unchanged. */
export function mapOutcome<From, To>(
    outcome: decision.Outcome<From>,
    convert: (value: From) => To,
): decision.Outcome<To> {
    return outcome.effect === decision.Effect.Known ? decision.knownEffect(convert(outcome.value)) : outcome;
}

async function callFirstReachable<Schema extends zod.ZodType>(
    options: KeyValueOptions,
    path: string,
    body: unknown,
    schema: Schema,
): Promise<decision.Outcome<zod.infer<Schema>>> {
    let lastOutcome: decision.Outcome<zod.infer<Schema>> = decision.noEffect("no address is configured");
    for (const address of options.addresses) {
        const outcome = await jsonCall.callJson({
            url: address + path,
            body,
            timeoutMs: options.timeoutMs,
            agent: options.agent,
        });
        lastOutcome = decodeResponse(outcome, schema);
        if (lastOutcome.effect !== decision.Effect.None) {
            return lastOutcome;
        }
    }
    return lastOutcome;
}

function decodeResponse<Schema extends zod.ZodType>(
    outcome: decision.Outcome<jsonCall.JsonResponse>,
    schema: Schema,
): decision.Outcome<zod.infer<Schema>> {
    if (outcome.effect !== decision.Effect.Known) {
        return outcome;
    }
    if (outcome.value.status !== 200) {
        return decision.unknownEffect(`status ${outcome.value.status}`);
    }
    const parsed = schema.safeParse(outcome.value.body);
    return parsed.success
        ? decision.knownEffect(parsed.data)
        : decision.unknownEffect("response does not match the expected schema");
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

function toSwap(response: zod.infer<typeof swapSchema>): SwapResult {
    const current = response.responses.flatMap((part) => part.response_range?.kvs ?? []).map(toEntry);
    return { succeeded: response.succeeded, revision: response.header.revision, current };
}

function toLease(wire: zod.infer<typeof leaseSchema>): Lease {
    return { id: wire.ID, timeToLiveSeconds: wire.TTL };
}
