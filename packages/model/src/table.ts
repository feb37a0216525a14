import * as policies from "./policies.js";
import type * as runs from "./run.js";

/** Results of a policy in a scenario of a deployment, over all seeds. */
export interface Row {
    readonly fleet: string;
    readonly scenario: string;
    readonly policy: policies.PolicyName;
    readonly offered: number;
    /** Goodput within both targets, divided by that of an ideal pool. */
    readonly goodOverIdeal: number;
    readonly good: number;
    readonly ideal: number;
    /** Wasted prefill work, divided by all prefill work. */
    readonly wasted: number;
    /** Goodput of the worst-served workspace, divided by its fair share. */
    readonly worstShare: number;
    readonly worstWorkspace: string;
    readonly refusedWithinRate: number;
    readonly withinRate: number;
}

/** Sums the results of all seeds. */
export function makeRow(
    fleet: string,
    scenario: string,
    policy: policies.PolicyName,
    results: readonly runs.RunFigures[],
): Row {
    const sum = (pick: (result: runs.RunFigures) => number) =>
        results.reduce((total, result) => total + pick(result), 0);
    const names = Object.keys(results[0]?.workspaces ?? {});
    const shares = names.map((name) => {
        const good = sum((result) => result.workspaces[name]?.good ?? 0);
        const share = sum((result) => result.workspaces[name]?.share ?? 0);
        return { name, ratio: share > 0 ? good / share : 1 };
    });
    const worst = shares.reduce((least, next) => next.ratio < least.ratio ? next : least);
    const good = sum((result) => result.good);
    const ideal = sum((result) => result.ideal);
    return {
        fleet,
        scenario,
        policy,
        offered: sum((result) => result.offered),
        good,
        ideal,
        goodOverIdeal: good / Math.max(1, ideal),
        wasted: sum((result) => result.wastedMs) / Math.max(1, sum((result) => result.prefillMs)),
        worstShare: worst.ratio,
        worstWorkspace: worst.name,
        refusedWithinRate: sum((result) => result.refusedWithinRate),
        withinRate: sum((result) => result.withinRate),
    };
}

const HEADINGS =
    "| fleet | scenario | policy | goodput/ideal | prefill wasted | worst workspace | refused within rate |";

/** Formats rows as a Markdown table. */
export function formatTable(rows: readonly Row[]): string {
    const lines = rows.map((row) =>
        [
            "",
            row.fleet,
            row.scenario,
            row.policy,
            row.goodOverIdeal.toFixed(3),
            `${(100 * row.wasted).toFixed(2)}%`,
            `${row.worstShare.toFixed(3)} ${row.worstWorkspace}`,
            `${row.refusedWithinRate} of ${row.withinRate}`,
            "",
        ].join(" | ").trim()
    );
    return [HEADINGS, "| --- | --- | --- | --- | --- | --- | --- |", ...lines].join("\n");
}
