import type * as decision from "@citronlead/decision";
import type * as configurations from "./configurationshell.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";

/** What a request asks of its workspace's rate. */
export interface ChargeWish {
    readonly requestId: string;
    readonly workspace: string;
    /** An upper bound of what the request will use, in tokens. */
    readonly tokens: number;
    /** When the request must have its answer, on this process's clock. */
    readonly deadline: decision.Milliseconds;
    readonly signal: AbortSignal;
}

/** The answer to a charge. */
export type Charge =
    | {
        readonly granted: true;
        /** Gives back what was charged beyond what was used, in tokens. Only the first call counts. */
        readonly settle: (usedTokens: number) => void;
    }
    | {
        readonly granted: false;
        /** When the charge would fit, in milliseconds; undefined if it never will. */
        readonly retryAfterMs: decision.Milliseconds | undefined;
    };

/** Keeps every workspace within its rate and burst over all hosts. */
export interface Admission {
    /** Charges a request, waiting while it can still be in time. */
    readonly charge: (wish: ChargeWish) => Promise<Charge>;
}

/** Starts admission. */
export function startAdmission(
    _context: contexts.Context,
    _configuration: configurations.ConfigurationInForce,
    _membership: memberships.Membership,
    _links: peers.Peers,
): Admission {
    return { charge: async () => ({ granted: true, settle: () => undefined }) };
}
