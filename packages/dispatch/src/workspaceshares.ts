import type * as decision from "@citronlead/decision";
import * as newest from "./newest.js";

/** Time in which what a workspace got falls to a third in its account. */
const MEMORY_MS = 3_000;
/** Multiple of its share beyond which a workspace comes after the others. */
const TOLERANCE = 2;
/** Maximum number of workspaces that are accounted for. */
const MAX_WORKSPACES = 2_000;

interface Account {
    readonly weight: number;
    readonly got: number;
    readonly at: decision.Milliseconds;
}

/**
 * Shares of the workspaces that compete in one urgency. Answers a workspace that sends several times its usual load: it
 * comes after the others until it has got no more than its share, which is in proportion to the workspaces' weights.
 */
export class WorkspaceShares {
    private readonly accounts = new Map<string, Account>();

    /** Records that a workspace competes, and the amount that it got. */
    record(workspace: string, weight: number, amount: number, now: decision.Milliseconds): void {
        const got = this.gotBy(workspace, now) + amount;
        newest.setNewest(this.accounts, workspace, { weight, got, at: now }, MAX_WORKSPACES);
    }

    /** The workspaces that have got more than their share. */
    beyond(now: decision.Milliseconds): ReadonlySet<string> {
        const current = [...this.accounts]
            .map(([workspace, { weight }]) => ({ workspace, weight, got: this.gotBy(workspace, now) }))
            .filter(({ workspace }) => now - (this.accounts.get(workspace)?.at ?? 0) < MEMORY_MS);
        const weights = current.reduce((sum, { weight }) => sum + weight, 0);
        const total = current.reduce((sum, { got }) => sum + got, 0);
        return new Set(
            current.filter(({ weight, got }) => got * weights > TOLERANCE * total * weight)
                .map(({ workspace }) => workspace),
        );
    }

    private gotBy(workspace: string, now: decision.Milliseconds): number {
        const known = this.accounts.get(workspace);
        return known ? known.got * Math.exp((known.at - now) / MEMORY_MS) : 0;
    }
}
