import * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";

/** Bytes a second that a host may spend on telling its load; a part of the 6 KB/s that control may take. */
const BYTES_PER_SECOND = 2_500;
/** Size of one datagram with its headers. */
const DATAGRAM_BYTES = 130;
/** Shortest pause between two tellings: changes of the same moment go out together. */
const SHORTEST_PAUSE_MS = 2;

/** What a teller works with. */
export interface LoadTellerParts {
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    /** The hosts that are told. */
    readonly hosts: () => readonly string[];
    readonly tell: (counts: dispatch.LoadCounts, hosts: readonly string[]) => void;
}

/** Tells other hosts what this one has under way, as soon as it changes and within its bytes. */
export class LoadTeller {
    private readonly counts: Record<string, number> = {};
    private nextAt: decision.Milliseconds = -Infinity;
    private waiting = false;

    constructor(private readonly parts: LoadTellerParts) {}

    /** Notes that a send to an upstream began (1) or ended (-1). */
    change(upstream: string, by: 1 | -1): void {
        const count = (this.counts[upstream] ?? 0) + by;
        if (count > 0) {
            this.counts[upstream] = count;
        }
        else {
            delete this.counts[upstream];
        }
        if (!this.waiting) {
            this.waiting = true;
            const pauseMs = Math.max(SHORTEST_PAUSE_MS, this.nextAt - this.parts.clock());
            lifecycle.after(this.parts.scope, pauseMs, () => this.tell());
        }
    }

    private tell(): void {
        const { clock, hosts, tell } = this.parts;
        const told = hosts();
        this.waiting = false;
        this.nextAt = clock() + told.length * DATAGRAM_BYTES / BYTES_PER_SECOND * decision.SECOND_MS;
        tell({ ...this.counts }, told);
    }
}
