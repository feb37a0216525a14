import type * as decision from "@citronlead/decision";

/** Shortest time in which a process ends and another one listens at its address. */
const MIN_RESTART_MS = 100;

/** What shows that the upstream that closed the connection of a response without framing has not stopped within it. */
export enum EndProof {
    /** A connection that was established before the end carried a response after the end. */
    OlderAnswered = "olderAnswered",
    /** An idle connection that was established before the end was still open after the probe. */
    OlderOpen = "olderOpen",
    /** A new connection was accepted sooner than another process could listen. */
    NewConnection = "newConnection",
    /** The service has no way to tell. */
    Unasked = "unasked",
}

/** How an upstream took the probe after the end of a response. */
export enum ProbeResult {
    Responded = "responded",
    /** The probe was sent, and there was no response in time. */
    Silent = "silent",
    /** Another upstream responded. */
    Denied = "denied",
    /** The connection was refused, closed or not accepted. */
    Gone = "gone",
}

/** What is known once the upstream of a response without framing has been probed. */
export interface EndEvidence {
    readonly probe: ProbeResult;
    /** Whether the upstreams of the service may be silent although they run. */
    readonly silentIsRunning: boolean;
    /** Whether an idle connection is open that was established before `openAt`. */
    readonly isOlderOpen: boolean;
    /** When the connection of the response was last known to be open. */
    readonly openAt: decision.Milliseconds;
    /** When the connection of the probe was established. */
    readonly connectedAt: decision.Milliseconds | undefined;
}

/** What proves that a response without framing ended as its upstream meant; undefined if nothing does. */
export function proofOfEnd(evidence: EndEvidence): EndProof | undefined {
    const { connectedAt = Infinity, isOlderOpen, openAt, probe, silentIsRunning } = evidence;
    const isSilent = probe === ProbeResult.Silent && silentIsRunning;
    if (probe !== ProbeResult.Responded && !isSilent) {
        return undefined;
    }
    const isProbeOlder = connectedAt < openAt;
    if (isProbeOlder && !isSilent) {
        return EndProof.OlderAnswered;
    }
    // A process closes all of its connections as it ends.
    if (isProbeOlder || isOlderOpen) {
        return EndProof.OlderOpen;
    }
    return connectedAt - openAt < MIN_RESTART_MS ? EndProof.NewConnection : undefined;
}

/** Number of polls in which an event loop finds the data of a connection and then its end. */
const POLLS_TO_END = 2;

/** Tells since when an event loop would have found the end of a connection. */
export class PollTimes {
    private readonly turns: decision.Milliseconds[];

    constructor(now: decision.Milliseconds) {
        this.turns = Array<decision.Milliseconds>(POLLS_TO_END).fill(now);
    }

    /** Records that the loop has polled, in a poll that began after `startedAt` and after the former record. */
    record(startedAt: decision.Milliseconds): void {
        this.turns.push(startedAt);
        this.turns.shift();
    }

    /** An end that is found now has come since then. */
    get polledAt(): decision.Milliseconds {
        return this.turns[0] ?? -Infinity;
    }
}

/** Since when the end of a response may have been there, unseen while its reader holds it. */
export class EndSight {
    private heldFrom: decision.Milliseconds = Infinity;
    private resumedAt: decision.Milliseconds = -Infinity;

    constructor(private readonly polls: Pick<PollTimes, "polledAt">) {}

    /** The reader takes nothing from now on. */
    hold(now: decision.Milliseconds): void {
        if (this.resumedAt < this.polls.polledAt) {
            this.heldFrom = now;
        }
    }

    /** The reader goes on. */
    resume(now: decision.Milliseconds): void {
        this.resumedAt = now;
    }

    /** When the connection was last known to be open, if its end is found now. */
    get openAt(): decision.Milliseconds {
        const { polledAt } = this.polls;
        return this.resumedAt < polledAt ? polledAt : Math.min(polledAt, this.heldFrom);
    }
}
