import * as zod from "zod";

/** The kinds of message between hosts. */
export enum MessageKind {
    /** Asks the owner of a workspace's quota, or of an upstream's limit, for a charge. */
    Charge = "charge",
    /** Carries the decision on a charge. */
    ChargeReply = "charged",
    /** Takes back a charge. */
    Refund = "refund",
    /** Reports requests that were running when upstreams went down. */
    CrashReports = "crashes",
    /** Tells which limit an upstream has named. */
    Limit = "limit",
    /** Tells which fingerprints are barred from upstreams. */
    Barred = "barred",
    /** Tells which fingerprints were in sound runs. */
    Cleared = "cleared",
    /** Carries what a reader of the store has read. */
    StoreUpdate = "news",
}

/** What a charge counts against. */
export enum Ledger {
    /** The quota of a workspace. */
    Workspaces = "workspaces",
    /** The limit that an upstream names. */
    Upstreams = "upstreams",
}

// Hosts of earlier builds leave out what has a default here.
const ledgerSchema = zod.enum(Ledger).default(Ledger.Workspaces);
const fingerprintsSchema = zod.array(zod.string()).readonly();

const messageSchema = zod.discriminatedUnion("kind", [
    zod.object({
        kind: zod.literal(MessageKind.Charge),
        id: zod.number(),
        ledger: ledgerSchema,
        workspace: zod.string(),
        limit: zod.object({ ratePerSecond: zod.number(), burst: zod.number(), version: zod.number() }),
        cost: zod.number(),
    }),
    zod.object({
        kind: zod.literal(MessageKind.ChargeReply),
        id: zod.number(),
        answer: zod.discriminatedUnion("granted", [
            zod.object({ granted: zod.literal(true), bucket: zod.number().optional() }),
            zod.object({ granted: zod.literal(false), waitMs: zod.number() }),
        ]),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Refund),
        ledger: ledgerSchema,
        workspace: zod.string(),
        bucket: zod.number(),
        cost: zod.number(),
    }),
    zod.object({
        kind: zod.literal(MessageKind.CrashReports),
        reports: zod.array(zod.object({
            service: zod.string().default(""),
            content: zod.string(),
            parts: fingerprintsSchema.default([]),
            incarnation: zod.string(),
            ranMs: zod.number().default(0),
        })),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Limit),
        incarnation: zod.string(),
        perSecond: zod.number().optional(),
    }),
    zod.object({ kind: zod.literal(MessageKind.Barred), fingerprints: fingerprintsSchema }),
    zod.object({ kind: zod.literal(MessageKind.Cleared), fingerprints: fingerprintsSchema }),
    zod.object({
        kind: zod.literal(MessageKind.StoreUpdate),
        news: zod.object({
            era: zod.number().default(0),
            revision: zod.number(),
            upstreams: zod.string(),
            ageMs: zod.number(),
            configuration: zod.number().optional(),
        }),
    }),
]);

/** A message between hosts. */
export type Message = zod.infer<typeof messageSchema>;

/** Parses a datagram; undefined if it is no message that this build knows. */
export function parseMessage(bytes: Buffer): Message | undefined {
    try {
        return messageSchema.safeParse(JSON.parse(bytes.toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}
