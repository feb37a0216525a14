import * as dispatch from "@citronlead/dispatch";
import * as zod from "zod";
import * as json from "./json.js";

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
    /** Tells how long an upstream goes on to warm up. */
    WarmUp = "warmUp",
    /** Tells which fingerprints are barred from upstreams. */
    Barred = "barred",
    /** Tells which fingerprints were in sound runs. */
    Cleared = "cleared",
    /** Carries what a reader of the store has read. */
    StoreUpdate = "news",
    /** Tells what hosts have seen of upstreams. */
    Observations = "observed",
    /** Tells how long engines take. */
    Speeds = "speeds",
    /** From a host that cannot read the store: asks for the emptied zones. */
    AskEvacuations = "askEvacuations",
    /** Tells which zones are emptied. */
    Evacuations = "evacuations",
    /** Asks the owner of a service's order for the turn of a request. */
    TurnAsk = "turnAsk",
    /** Carries the decision on a request that asked for its turn. */
    Turn = "turn",
    /** Tells that a request could not use its turn. */
    TurnReturned = "turnReturned",
    /** Tells the owner of a service's order which runs have begun and which have ended, or wait no longer. */
    Runs = "runs",
    /** Tells that requests wait for a service, so that hosts ask for turns and report their runs. */
    Contention = "contention",
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
const MAX_TEXT_CHARACTERS = 1_024;
const text = zod.string().max(MAX_TEXT_CHARACTERS);
/** Sums and products of such numbers are finite. */
const amount = zod.number().min(0).max(1e15);
/** Many times the observations that a host sends in one datagram. */
const MAX_OBSERVATIONS = 200;
/** Longer than the patches that hosts send. */
const MAX_PATCH_CHARACTERS = 16_384;
const patch = zod.string().max(MAX_PATCH_CHARACTERS);
const fingerprintsSchema = zod.array(text).readonly();

/** Maximum number of emptied zones in a message. */
const MAX_ZONES = 64;
const evacuationsSchema = zod.object({
    era: amount,
    revision: amount,
    zones: zod.array(zod.object({ zone: text, revision: amount })).max(MAX_ZONES).readonly(),
});
const MAX_ITEMS = 64;
const turnMessageSchemas = [
    zod.object({
        kind: zod.literal(MessageKind.TurnAsk),
        service: text,
        id: text,
        urgency: amount,
        targetInMs: amount,
        deadlineInMs: amount,
        workspace: text,
        workspaceWeight: amount,
        hadRoom: zod.boolean(),
        content: text,
        amount,
        durationMs: amount,
        availabilityZone: text,
        avoided: zod.array(text).max(MAX_ITEMS).readonly(),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Turn),
        service: text,
        id: text,
        turn: zod.discriminatedUnion("kind", [
            zod.object({ kind: zod.literal(dispatch.TurnKind.Try), place: text }),
            zod.object({ kind: zod.literal(dispatch.TurnKind.Wait), position: amount, waitMs: amount }),
            zod.object({
                kind: zod.literal(dispatch.TurnKind.Refuse),
                returnInMs: amount,
                promised: zod.boolean(),
                waitMs: amount.optional(),
            }),
        ]),
    }),
    zod.object({
        kind: zod.literal(MessageKind.TurnReturned),
        service: text,
        id: text,
        problem: zod.enum(dispatch.TurnProblem),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Runs),
        service: text,
        begun: zod.array(zod.object({ id: text, place: text, amount, endsInMs: amount })).max(MAX_ITEMS).readonly(),
        ended: zod.array(text).max(MAX_ITEMS).readonly(),
    }),
    zod.object({ kind: zod.literal(MessageKind.Contention), service: text, forMs: amount }),
] as const;

const messageSchema = zod.discriminatedUnion("kind", [
    zod.object({
        kind: zod.literal(MessageKind.Charge),
        id: amount,
        ledger: ledgerSchema,
        workspace: text,
        limit: zod.object({ ratePerSecond: amount, burst: amount, version: amount, atOnce: amount.optional() }),
        cost: amount,
    }),
    zod.object({
        kind: zod.literal(MessageKind.ChargeReply),
        id: amount,
        answer: zod.discriminatedUnion("granted", [
            zod.object({ granted: zod.literal(true), bucket: amount.optional() }),
            zod.object({ granted: zod.literal(false), waitMs: amount }),
        ]),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Refund),
        ledger: ledgerSchema,
        workspace: text,
        bucket: amount,
        cost: amount,
    }),
    zod.object({
        kind: zod.literal(MessageKind.CrashReports),
        reports: zod.array(zod.object({
            service: text.default(""),
            content: text,
            parts: fingerprintsSchema.default([]),
            incarnation: text,
            ranMs: amount.default(0),
        })),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Limit),
        incarnation: text,
        perSecond: amount.optional(),
    }),
    zod.object({ kind: zod.literal(MessageKind.WarmUp), incarnation: text, leftMs: amount }),
    zod.object({ kind: zod.literal(MessageKind.Barred), fingerprints: fingerprintsSchema }),
    zod.object({ kind: zod.literal(MessageKind.Cleared), fingerprints: fingerprintsSchema }),
    zod.object({
        kind: zod.literal(MessageKind.StoreUpdate),
        news: zod.object({
            era: amount.default(0),
            revision: amount,
            upstreams: text,
            ageMs: amount,
            configuration: amount.optional(),
            upstreamsChange: zod.object({ from: text, patch }).optional(),
            configurationChange: zod.object({ from: text, patch, digest: text }).optional(),
            evacuations: evacuationsSchema.optional().catch(undefined),
        }),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Observations),
        observations: zod.array(zod.object({
            id: amount,
            incarnation: text,
            state: zod.enum(dispatch.ObservedState),
            observer: text,
            ageMs: amount,
        })).max(MAX_OBSERVATIONS),
    }),
    zod.object({
        kind: zod.literal(MessageKind.Speeds),
        samples: zod.array(zod.object({
            incarnation: text,
            kind: zod.enum(dispatch.SpeedKind),
            unitMs: amount,
            count: amount,
        })).max(MAX_OBSERVATIONS),
    }),
    zod.object({ kind: zod.literal(MessageKind.AskEvacuations) }),
    zod.object({ kind: zod.literal(MessageKind.Evacuations), listing: evacuationsSchema }),
    ...turnMessageSchemas,
]);

/** A message between hosts. */
export type Message = zod.infer<typeof messageSchema>;

/** A message about turns. */
export type TurnMessage = zod.infer<typeof turnMessageSchemas[number]>;

/** The message that carries a turn. */
export function turnMessage(service: string, id: string, turn: dispatch.Turn): TurnMessage {
    const sent = turn.kind === dispatch.TurnKind.Refuse
        ? { ...turn, waitMs: Number.isFinite(turn.waitMs) ? turn.waitMs : undefined }
        : turn;
    return { kind: MessageKind.Turn, service, id, turn: sent };
}

/** The turn that a message carries. */
export function turnOf({ turn }: Extract<TurnMessage, { kind: MessageKind.Turn; }>): dispatch.Turn {
    return turn.kind === dispatch.TurnKind.Refuse ? { ...turn, waitMs: turn.waitMs ?? Infinity } : turn;
}

/** Why a datagram is not read. */
export enum UnreadReason {
    /** A kind of message that this build does not know, such as one of a later build. */
    UnknownKind = "unknownKind",
    Malformed = "malformed",
}

const kindSchema = zod.object({ kind: zod.string() });
const KNOWN_KINDS: ReadonlySet<string> = new Set(Object.values(MessageKind));

/** Parses a datagram; undefined if it is no message that this build knows. */
export function parseMessage(bytes: Buffer): Message | undefined {
    return messageSchema.safeParse(json.parseJson(bytes)).data;
}

/** Why a datagram is no message that this build knows. */
export function unreadReason(bytes: Buffer): UnreadReason {
    const kind = kindSchema.safeParse(json.parseJson(bytes)).data?.kind;
    return kind === undefined || KNOWN_KINDS.has(kind) ? UnreadReason.Malformed : UnreadReason.UnknownKind;
}
