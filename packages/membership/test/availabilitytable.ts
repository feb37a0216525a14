import * as availability from "./availability.js";

/** Prints the table of docs/design/takeover.md, averaged over the seeds 1 to N (10): node availabilitytable.js N. */
const seeds = Number(process.argv[2] ?? 10);
const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
const percent = (share: number) => `${(100 * share).toFixed(2)}%`;
process.stdout.write(`seeds 1 to ${seeds}\n`);
for (const scenario of availability.SCENARIOS) {
    for (const successors of [0, 1, 2]) {
        const results = Array.from(
            { length: seeds },
            (_, index) => availability.measure(index + 1, scenario, successors),
        );
        const cells = [
            scenario.name,
            String(successors),
            percent(mean(results.map((result) => result.share))),
            percent(Math.min(...results.map((result) => result.lowest))),
            `${(mean(results.map((result) => result.incompleteMs)) / 1_000).toFixed(1)} s`,
        ];
        process.stdout.write(`| ${cells.join(" | ")} |\n`);
    }
}
