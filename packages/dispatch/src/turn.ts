import type * as decision from "@citronlead/decision";
import type * as rooms from "./room.js";

/** A request that asks for its turn. */
export interface TurnRequest extends rooms.RoomNeed {
    /** Unique among the requests of all hosts. */
    readonly id: string;
    /** The host that has it. */
    readonly host: string;
    /** Smaller values are more urgent; 0 comes first. */
    readonly urgency: number;
    /** When the first result is due by the latency target. */
    readonly targetAt: decision.Milliseconds;
    /** Deadline of the final response. */
    readonly deadlineAt: decision.Milliseconds;
    readonly workspace: string;
    /** Entitlement of the workspace, relative to that of others. */
    readonly workspaceWeight: number;
    /** Whether it had room before and lost it, such as by the crash of an engine; it comes before new requests. */
    readonly hadRoom: boolean;
    /** Hash that is the same when a refused caller returns. */
    readonly content: string;
}

/** What a request does next. */
export enum TurnKind {
    /** Tries to get room at the place. */
    Try = "try",
    Wait = "wait",
    /** Is refused: no room comes in time. */
    Refuse = "refuse",
}

/** The decision on one request. */
export type Turn =
    | { readonly kind: TurnKind.Try; readonly place: string; }
    | {
        readonly kind: TurnKind.Wait;
        /** Number of waiters that come before it. */
        readonly position: number;
        /** Forecast of the wait. */
        readonly waitMs: decision.Milliseconds;
    }
    | {
        readonly kind: TurnKind.Refuse;
        /** When a caller should return. */
        readonly returnInMs: decision.Milliseconds;
        /** Whether a place is kept for it then. */
        readonly promised: boolean;
        /** Forecast of the wait that it is spared; infinite if no room is in sight. */
        readonly waitMs: decision.Milliseconds;
    };

/** A decision for a request of a host. */
export interface AddressedTurn {
    readonly request: TurnRequest;
    readonly turn: Turn;
}

/** Why a request could not use its turn. */
export enum TurnProblem {
    /** The place has less room. */
    Full = "full",
    Unreachable = "unreachable",
    /** The place is not available to this request. */
    Unsuitable = "unsuitable",
}
