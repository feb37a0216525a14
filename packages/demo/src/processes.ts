import * as lifecycle from "@citronlead/lifecycle";
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";
import * as url from "node:url";

/** A child process, killed when the scope that owns it closes. */
export interface RunningProcess {
    readonly child: childProcess.ChildProcess;
    /** Lines that the process has written to standard output. */
    readonly lines: string[];
    /** Resolves with the exit code, or with the name of the signal that ended the process. */
    readonly ended: Promise<number | string>;
}

/** Exit code and output of a command. */
export interface CommandResult {
    /** -1 if a signal ended the command. */
    readonly code: number;
    readonly output: string;
    readonly errors: string;
}

const packagesDirectory = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../../..");

/** Path of the citronlead command's program. */
export const CITRONLEAD_PROGRAM = path.join(packagesDirectory, "command/dist/src/main.js");
/** Path of the stand-ins' program. */
export const STANDIN_PROGRAM = path.join(packagesDirectory, "standins/dist/src/main.js");
/** Directory of the example configurations. */
export const EXAMPLES_DIRECTORY = path.resolve(packagesDirectory, "../examples");

const READY_TIMEOUT_MS = 30_000;

const children = new Set<childProcess.ChildProcess>();
process.once("exit", () => children.forEach((child) => child.kill("SIGKILL")));

/** Exits on SIGTERM and SIGINT. On exit, all child processes are killed. */
export function exitOnSignals(): void {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => process.exit(1));
    }
}

/**
 * Starts a program of this repository and resolves once it has printed a line that the predicate accepts. Rejects if
 * the program exits first or is not ready in time.
 */
export async function startProcess(
    scope: lifecycle.Scope,
    parameters: readonly string[],
    isReady: (line: string) => boolean,
): Promise<RunningProcess> {
    const child = childProcess.spawn(process.execPath, parameters, { stdio: ["ignore", "pipe", "inherit"] });
    const ended = new Promise<number | string>((resolve) =>
        child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"))
    );
    children.add(child);
    void ended.then(() => children.delete(child));
    scope.defer(async () => {
        child.kill("SIGKILL");
        await ended;
    });
    const lines: string[] = [];
    const started = new Promise<void>((resolve, reject) => {
        const timer = setTimeout(
            () => reject(new Error(`${parameters.join(" ")} was not ready within ${READY_TIMEOUT_MS} ms`)),
            READY_TIMEOUT_MS,
        );
        void ended.then(() => clearTimeout(timer));
        readline.createInterface({ input: child.stdout }).on("line", (line) => {
            lines.push(line);
            if (isReady(line)) {
                clearTimeout(timer);
                resolve();
            }
        });
        void ended.then((exitStatus) =>
            reject(new Error(`${parameters.join(" ")} exited with ${exitStatus} before it was ready`))
        );
    });
    await started;
    return { child, lines, ended };
}

/** Runs a program of this repository and resolves once it has exited. */
export async function runCommand(parameters: readonly string[]): Promise<CommandResult> {
    const child = childProcess.spawn(process.execPath, parameters, { stdio: ["ignore", "pipe", "pipe"] });
    let output = "";
    let errors = "";
    child.stdout.on("data", (chunk: Buffer) => output += chunk.toString("utf8"));
    child.stderr.on("data", (chunk: Buffer) => errors += chunk.toString("utf8"));
    const code = await new Promise<number>((resolve) => child.once("close", (status) => resolve(status ?? -1)));
    return { code, output, errors };
}
