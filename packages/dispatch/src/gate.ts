import type * as decision from "@citronlead/decision";

/** Why a host sends nothing to an upstream for a while. */
export enum Exclusion {
    /** The upstream has said that it leaves; it finishes the work in flight. */
    Leaving = "leaving",
    /** The upstream has named a time in which it wants nothing from this host. */
    Waiting = "waiting",
    /** Another incarnation or another upstream has answered at the address. */
    Replaced = "replaced",
    /** Operators empty the upstream's availability zone until they take it back. */
    Evacuated = "evacuated",
}

/** How long nothing is sent to an incarnation that was replaced: its registration lapses after three heartbeats. */
const REPLACED_MS = 4_000;
/** Share of a named wait, and most time, by which the returns of hosts are spread. */
const SPREAD_SHARE = 0.2;
const MAX_SPREAD_MS = 1_000;

/**
 * Whether this host may send to one upstream incarnation, by what the upstream has said itself. Answers the load of upstreams
 * that leave or turn requests away while the store still lists them as ready.
 */
export class SendGate {
    private leaving = false;
    private waitsUntil: decision.Milliseconds = -Infinity;
    private replacedUntil: decision.Milliseconds = -Infinity;

    /** Records that the upstream leaves, for the rest of its incarnation. Returns whether that is news. */
    recordLeaving(): boolean {
        const isNews = !this.leaving;
        this.leaving = true;
        return isNews;
    }

    /**
     * Records that the upstream wants nothing for a time. A shorter time named later does not end a longer one; `spread`, from 0
     * to 1, keeps hosts from returning together. Returns whether the wait is prolonged.
     */
    recordWait(waitMs: decision.Milliseconds, spread: number, now: decision.Milliseconds): boolean {
        const until = now + waitMs + spread * Math.min(MAX_SPREAD_MS, SPREAD_SHARE * waitMs);
        const isLonger = until > this.waitsUntil;
        this.waitsUntil = Math.max(until, this.waitsUntil);
        return isLonger;
    }

    /** Records that another incarnation or another upstream has answered at the address. */
    recordReplaced(now: decision.Milliseconds): void {
        this.replacedUntil = now + REPLACED_MS;
    }

    /** Why nothing may be sent now; undefined if something may. */
    exclusion(now: decision.Milliseconds): Exclusion | undefined {
        if (this.leaving) {
            return Exclusion.Leaving;
        }
        if (now < this.waitsUntil) {
            return Exclusion.Waiting;
        }
        return now < this.replacedUntil ? Exclusion.Replaced : undefined;
    }

    /** Time until something may be sent; infinite if the upstream leaves. */
    returnsInMs(now: decision.Milliseconds): decision.Milliseconds {
        return this.leaving ? Infinity : Math.max(0, this.waitsUntil - now, this.replacedUntil - now);
    }
}

/** What a request does while each upstream of its service is excluded. */
export enum AwayDecision {
    /** Waits for the first that returns. */
    Wait = "wait",
    /** Is refused at once. */
    Refuse = "refuse",
}

/** Share of the time that a caller has left which it may spend waiting for an upstream. */
const MAX_WAIT_SHARE = 1 / 3;

/** Decides whether a request waits for the first upstream that returns, given the times until then and until its target and deadline. */
export function decideWhileAway(
    returnsInMs: decision.Milliseconds,
    targetInMs: decision.Milliseconds,
    deadlineInMs: decision.Milliseconds,
): AwayDecision {
    return returnsInMs < Math.min(targetInMs, deadlineInMs * MAX_WAIT_SHARE) ? AwayDecision.Wait : AwayDecision.Refuse;
}
