import * as lifecycle from "@citronlead/lifecycle";
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";
import * as url from "node:url";

/** A process that was started and is ended with the scope that owns it. */
export interface RunningProcess {
    readonly child: childProcess.ChildProcess;
    /** Lines that the process has printed on its standard output. */
    readonly lines: string[];
    /** Resolves with the exit code, or with the name of the signal that ended the process. */
    readonly ended: Promise<number | string>;
}

/** How a command ended. */
export interface CommandResult {
    readonly code: number;
    readonly output: string;
    readonly errors: string;
}

const packages = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../../..");

/** The program of the citronlead command. */
export const COMMAND = path.join(packages, "command/dist/src/main.js");
/** The program of the stand-ins. */
export const STANDIN = path.join(packages, "standins/dist/src/main.js");
/** The directory with the shipped configurations. */
export const EXAMPLES = path.resolve(packages, "../examples");

/** A process that has not said by then that it is ready has failed to start. */
const READY_LIMIT_MS = 30_000;

const children = new Set<childProcess.ChildProcess>();
process.once("exit", () => children.forEach((child) => child.kill("SIGKILL")));

/** Exits on the usual signals, which ends the processes that this one has started as well. */
export function exitOnSignals(): void {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => process.exit(1));
    }
}

/** Starts a program of this repository and resolves when it has printed a line that the predicate accepts. */
export async function startProcess(
    scope: lifecycle.Lifecycle,
    parameters: readonly string[],
    ready: (line: string) => boolean,
): Promise<RunningProcess> {
    const child = childProcess.spawn(process.execPath, parameters, { stdio: ["ignore", "pipe", "inherit"] });
    const ended = new Promise<number | string>((resolve) =>
        child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"))
    );
    children.add(child);
    void ended.then(() => children.delete(child));
    scope.own(async () => {
        child.kill("SIGKILL");
        await ended;
    });
    const lines: string[] = [];
    const started = new Promise<void>((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error(`${parameters.join(" ")} was not ready in ${READY_LIMIT_MS} ms`)),
            READY_LIMIT_MS,
        );
        void ended.then(() => clearTimeout(timer));
        readline.createInterface({ input: child.stdout }).on("line", (line) => {
            lines.push(line);
            if (ready(line)) {
                clearTimeout(timer);
                resolve();
            }
        });
        void ended.then((how) => reject(new Error(`${parameters.join(" ")} ended with ${how} before it was ready`)));
    });
    await started;
    return { child, lines, ended };
}

/** Runs a program of this repository to its end. */
export async function runCommand(parameters: readonly string[]): Promise<CommandResult> {
    const child = childProcess.spawn(process.execPath, parameters, { stdio: ["ignore", "pipe", "pipe"] });
    let output = "";
    let errors = "";
    child.stdout.on("data", (piece: Buffer) => output += piece.toString("utf8"));
    child.stderr.on("data", (piece: Buffer) => errors += piece.toString("utf8"));
    const code = await new Promise<number>((resolve) => child.once("close", (status) => resolve(status ?? -1)));
    return { code, output, errors };
}
