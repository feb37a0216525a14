// Runs the seeded tests with many seeds, or replays one seed: npm run soak -- --seeds 1000, npm run soak -- --seed 17.
import { spawnSync } from "node:child_process";
import { parseArgs } from "node:util";

const { values } = parseArgs({ options: { seeds: { type: "string", default: "200" }, seed: { type: "string" } } });
const environment = values.seed === undefined ? { CITRONLEAD_SEEDS: values.seeds } : { CITRONLEAD_SEED: values.seed };
console.log(values.seed === undefined ? `seeds 1 to ${values.seeds}` : `seed ${values.seed}`);
const parameters = ["--no-install", "mocha", "--timeout", "0", "--spec", "packages/*/dist/test/**/*.seeded.test.js"];
const result = spawnSync("npx", [...parameters, "--no-config"], {
    stdio: "inherit",
    env: { ...process.env, ...environment },
});
process.exitCode = result.status ?? 1;
