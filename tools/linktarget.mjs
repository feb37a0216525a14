// Makes the packages compiled into target/ resolvable by name from there, so that the deployment needs nothing outside it
// but third-party packages.
import * as fs from "node:fs";
import * as path from "node:path";

const TARGET = "target";
const SCOPE = "@citronlead";

/** Lets a compiled package find the versions of libraries that are installed for it alone. */
function linkOwnLibraries(source, compiled) {
    const libraries = path.join(source, "node_modules");
    const link = path.join(compiled, "node_modules");
    if (fs.existsSync(libraries) && !fs.existsSync(link)) {
        fs.symlinkSync(path.relative(compiled, libraries), link);
    }
}

linkOwnLibraries("platform", path.join(TARGET, "platform"));
for (const name of fs.readdirSync(path.join(TARGET, "packages"))) {
    const folder = path.join(TARGET, "node_modules", SCOPE, name);
    linkOwnLibraries(path.join("packages", name), path.join(TARGET, "packages", name));
    fs.mkdirSync(folder, { recursive: true });
    const manifest = { name: `${SCOPE}/${name}`, type: "module", exports: "./index.js" };
    fs.writeFileSync(path.join(folder, "package.json"), JSON.stringify(manifest));
    fs.writeFileSync(path.join(folder, "index.js"), `export * from "../../../packages/${name}/src/index.js";\n`);
}
