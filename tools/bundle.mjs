// Bundles the gateway program of the platform folder and its libraries into one file. Without the bundle, a process spends
// most of its start on loading modules one by one, while callers wait.
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
    // Some libraries are CommonJS and load Node's built-in modules with require.
    banner: { js: `import { createRequire } from "node:module"; const require = createRequire(import.meta.url);` },
});
