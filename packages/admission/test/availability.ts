import * as fs from "node:fs";
import * as path from "node:path";
import * as comparison from "./support/comparison.js";

/**
 * Compares slices with simpler rate limiting schemes and prints the figures as JSON, one line per scheme and scenario.
 * With a file name as argument, also writes them to that file as a Markdown table.
 */
function main(): void {
    const figures = comparison.scenarios.flatMap((scenario) => {
        const rows = comparison.compare(scenario);
        rows.forEach((row) => process.stdout.write(JSON.stringify(row) + "\n"));
        return rows;
    });
    const file = process.argv[2];
    if (file !== undefined) {
        fs.mkdirSync(path.dirname(file), { recursive: true });
        fs.writeFileSync(file, makePage(figures));
    }
}

function makePage(figures: readonly comparison.Figures[]): string {
    const percent = (fraction: number) => `${(fraction * 100).toFixed(2)}%`;
    const rows = figures.map((row) =>
        `| ${row.scenario} | ${row.rule} | ${row.requests} | ${percent(row.refused)} | `
        + `${percent(row.delayedOverOneSecond)} | ${row.messagesPerRequest?.toFixed(2) ?? ""} | `
        + `1 to ${row.seeds.length} |`
    );
    return [
        "# Availability of a workspace within its rate",
        "",
        "Made by `node packages/admission/dist/test/availability.js docs/measurements/availability.md` (after `npm run build`).",
        "",
        "One workspace at 85% of 3,000 tokens a second with a burst of 6,000; sizes from a Pareto distribution (shape 1.5,",
        "mean 150, at most 3,000 tokens); requests wait up to 2 s; 9 hosts in 3 availability zones; leases of 3 s; every rule",
        "gets the same requests and faults in each seed. The host that dies owns a slice (three slices) or the whole",
        "(one owner); in an outage it dies as the outage begins, and what it owned has no owner until the service is back.",
        "Requests count from the fault on, until 30 s after an outage and for 60 s after a death. Simulated time and network",
        "(1 ms on average); the decisions of the slices are the real code, checked against rate and burst at every grant.",
        "",
        "| scenario | rule | requests | refused | delayed over 1 s | messages a request | seeds |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        ...rows,
        "",
        "Target: none refused that its deadline allows to wait, and never more than rate and burst. The second is checked at",
        "every grant; the run stops if it is broken. For the first, compare the slices with one bucket that never fails.",
        "Messages a request count from the start of the run over the requests that are counted, so short scenarios show more.",
        "",
    ].join("\n");
}

main();
