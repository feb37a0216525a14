// Starts the project's own program as on a small deployment: one loopback address for each host, ports alike on all.
import childProcess from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";

export const REPOSITORY = path.resolve(import.meta.dirname, "../..");
export const FRONT_PORT = 8221;
export const READY_PORT = 8224;
export const STORE_PORT = 8225;
export const PEER_PORT = 7600;
const START_TIMEOUT_MS = 20_000;

/** A part of 127.0.0.0/8 that other runs at the same time probably do not use. */
export const subnet = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes what was sent, answered and run to record.txt. */
export function openRecord(folder) {
    const file = fs.openSync(path.join(folder, "record.txt"), "w");
    const startedAt = performance.now();
    return (text) =>
        fs.writeSync(file, `${((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)} s  ${text}\n`);
}

function runCommand() {
    const text = fs.readFileSync(path.join(REPOSITORY, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A process of the edge role, with its own address. */
export class Host {
    constructor(name, address, folder, { memoryMb = 200, zone = "braga-a", graceSeconds = 8 } = {}) {
        this.name = name;
        this.address = address;
        this.settings = path.join(folder, `${name}.toml`);
        this.log = path.join(folder, `${name}.log`);
        fs.writeFileSync(
            this.settings,
            [
                `node = "${name}"`,
                'role = "edge"',
                'machine_class = "edge"',
                'serves = ["edge"]',
                `ip = "${address}"`,
                `zone = "${zone}"`,
                'region = "ptnorth"',
                `port_range = [${PEER_PORT},${PEER_PORT + 15}]`,
                'discovery = "platform"',
                "heartbeat_ms = 1200",
                "[zones]",
                'braga-a = "ptnorth"',
                'porto-b = "ptnorth"',
                'gmr-c = "ptnorth"',
                "[listen]",
                `front = "${address}:${FRONT_PORT}"`,
                `ready = "${address}:${READY_PORT}"`,
                "[limits]",
                `memory_mb = ${memoryMb}`,
                "max_fds = 4100",
                "[bounds]",
                "drain_ms = 2000",
                `grace_s = ${graceSeconds}`,
                "config_apply_ms = 2000",
                "retry_budget_ratio = 0.2",
                "budget_window_s = 10",
                "budget_extra = 58",
                "quota_window_s = 8",
                "quota_overshoot = 0.1",
                "quota_slack = 190000",
                "[platform]",
                `address = "${subnet}.1:${STORE_PORT}"`,
                "",
            ].join("\n"),
        );
    }

    start() {
        const [command, ...parameters] = runCommand();
        const output = fs.openSync(this.log, "a");
        this.process = childProcess.spawn(command, parameters, {
            cwd: REPOSITORY,
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", CITRONLEAD_SETTINGS: this.settings },
            stdio: ["ignore", output, output],
        });
        fs.closeSync(output);
        this.exited = new Promise((resolve) => this.process.once("exit", resolve));
        return this;
    }

    /** Whether the platform's question is answered with 200. */
    isReady() {
        return new Promise((resolve) => {
            const socket = net.connect(READY_PORT, this.address);
            let text = "";
            socket.setTimeout(1_000, () => socket.destroy());
            socket.on(
                "connect",
                () => socket.write("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"),
            );
            socket.on("data", (bytes) => text += bytes);
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(text.startsWith("HTTP/1.1 200")));
        });
    }

    async waitUntilReady() {
        const endsAt = performance.now() + START_TIMEOUT_MS;
        while (performance.now() < endsAt) {
            if (await this.isReady()) {
                return;
            }
            await pause(50);
        }
        throw new Error(`${this.name} is not ready`);
    }

    async stop() {
        if (this.process && this.process.exitCode === null && this.process.signalCode === null) {
            this.process.kill("SIGCONT");
            this.process.kill("SIGKILL");
            await this.exited;
        }
    }
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run. Ends everything that it started. */
export async function runCase(folder, body) {
    const record = openRecord(folder);
    const temporary = fs.mkdtempSync(path.join(os.tmpdir(), "citronlead-case-"));
    const closers = [];
    let code = 2;
    try {
        const broken = await body({ record, folder: temporary, defer: (close) => closers.push(close) });
        code = broken ? 1 : 0;
        record(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    }
    catch (error) {
        record(`RESULT: could not run: ${error?.stack ?? error}`);
    }
    for (const close of closers.reverse()) {
        await close();
    }
    if (process.env.KEEP_LOGS !== "1") {
        fs.rmSync(temporary, { recursive: true });
    }
    else {
        console.log(temporary);
    }
    process.exit(code);
}
