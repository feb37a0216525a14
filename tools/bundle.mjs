// Bundles the platform's program with the libraries it uses into one file: a process that starts while callers wait spends
// most of its time on loading modules one by one.
import * as esbuild from "esbuild";

await esbuild.build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/citronlead-edge.mjs",
    tsconfig: "deploy/tsconfig.json",
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    logLevel: "warning",
    // Some libraries are CommonJS and ask for Node's own modules by require.
    banner: { js: `import { createRequire } from "node:module"; const require = createRequire(import.meta.url);` },
});
