// What each script does around its case: a folder for its files, its record, and the end of all that it started.
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

export const trouble = process.env.TROUBLE !== "0";
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Plays a case; `play` resolves to whether the rule held. Exits with 0 if it did, 1 if not, 2 if the case could not run. */
export async function runCase(folder, play) {
    const record = fs.createWriteStream(path.join(folder, "record.txt"));
    const startedAt = performance.now();
    const note = (what, values = {}) =>
        record.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${what} ${JSON.stringify(values)}\n`);
    const temporary = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    const hosts = [];
    const others = [];
    const finish = async (code) => {
        await Promise.allSettled(hosts.map((host) => host.kill()));
        others.forEach((other) => other.close());
        note("exit", { code });
        await new Promise((resolve) => record.end(resolve));
        if (!process.env.KEEP) {
            fs.rmSync(temporary, { recursive: true, force: true });
        }
        process.exit(code);
    };
    process.on("uncaughtException", (error) => note("error", { error: String(error.stack) }));
    process.on("unhandledRejection", (error) => note("error", { error: String(error?.stack ?? error) }));
    setTimeout(() => {
        note("the case took too long");
        void finish(2);
    }, 110_000).unref();
    note("start", { trouble });
    try {
        const held = await play({ note, temporary, hosts, others });
        note(held === undefined ? "could not run" : held ? "the rule held" : "the rule was broken");
        await finish(held === undefined ? 2 : held ? 0 : 1);
    }
    catch (error) {
        note("could not run", { error: String(error.stack) });
        await finish(2);
    }
}
