// Starts hosts of the gateway as separate processes with the command of the deploy file, and what they need.
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

export const REPOSITORY = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");

/** The command of the role in deploy/system.toml. */
function deployedCommand() {
    const text = fs.readFileSync(path.join(REPOSITORY, "deploy/system.toml"), "utf8");
    return /^run = "([^"]*)"/m.exec(text)[1].split(" ");
}

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Addresses of the loopback network that differ from run to run: the port of the metrics is fixed. */
export function makeLoopbackAddresses(count) {
    const base = 1 + Math.floor(Math.random() * 60);
    const second = 1 + (process.pid % 250);
    return Array.from({ length: count }, (_, index) => `127.${base}.${second}.${10 + index}`);
}

/** A port that is free on all the addresses, for TCP. */
async function findFreePort(addresses, taken) {
    for (;;) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        const free = await Promise.all(addresses.map((address) =>
            new Promise((resolve) => {
                const server = net.createServer();
                server.once("error", () => resolve(false));
                server.listen(port, address, () => server.close(() => resolve(true)));
            })
        ));
        if (!taken.includes(port) && free.every(Boolean)) {
            return port;
        }
    }
}

/** The ports of all hosts: they are the same on all machines. */
export async function chooseHostPorts(addresses) {
    const ports = [];
    while (ports.length < 3) {
        ports.push(await findFreePort(addresses, ports));
    }
    const [front, ready, peers] = ports;
    return { front, ready, peers };
}

/** Bounds as the platform sets them for a small deployment (`fleetbench wire` of armor-rdv). */
const BOUNDS = `[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
skew_max_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 190000
recovery_s = 12
transit_ms = 120
retry_after_s = 7.1
fencing_required = false
lease_ms = 3000
thaw_slack_ms = 300
`;

/** A host of the gateway. */
export class Host {
    constructor(name, ip, ports, folder, storeAddress, zone = "rennes") {
        Object.assign(this, { name, ip, folder, storeAddress, zone, ...ports });
        this.settings = path.join(folder, `${name}.toml`);
        fs.writeFileSync(
            this.settings,
            `node = "${name}"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "${ip}"
zone = "${zone}"
region = "bretagne"
port_range = [${ports.peers},${ports.peers + 15}]
seeds = []
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[zones]
rennes = "bretagne"
brest = "bretagne"
vannes = "bretagne"
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
${BOUNDS}[platform]
address = "${storeAddress}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`,
        );
    }

    start() {
        const [program, ...parameters] = deployedCommand();
        this.log = fs.openSync(path.join(this.folder, `${this.name}.log`), "a");
        this.exit = undefined;
        this.child = spawn(program, parameters, {
            cwd: REPOSITORY,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, CITRONLEAD_SETTINGS: this.settings },
            stdio: ["ignore", this.log, this.log],
        });
        this.child.on("exit", (code, signal) => this.exit = { code, signal, at: performance.now() });
        children.add(this.child);
    }

    signal(name) {
        this.child?.kill(name);
    }

    async isReady() {
        return new Promise((resolve) => {
            const request = http.get(
                { host: this.ip, port: this.ready, path: "/-/ready", timeout: 500, agent: false },
                (response) => {
                    response.resume();
                    resolve(response.statusCode === 200);
                },
            );
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    }

    async waitUntilReady(timeoutMs = 15_000) {
        const endsAt = performance.now() + timeoutMs;
        while (performance.now() < endsAt) {
            if (await this.isReady()) {
                return;
            }
            await pause(100);
        }
        throw new Error(`${this.name} is not ready`);
    }
}

const children = new Set();

/** Ends all processes that were started. */
export function endProcesses() {
    children.forEach((child) => {
        if (child.exitCode === null && child.signalCode === null) {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        }
    });
}

export function makeTemporaryFolder() {
    return fs.mkdtempSync(path.join(os.tmpdir(), "citronlead-review-"));
}

/** Listens on a free port of an address; returns the port. */
export async function listen(server, address = "127.0.0.1") {
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, address, resolve);
    });
    return server.address().port;
}

/** Writes lines to `record.txt` in the case's folder. */
export class Record {
    constructor(folder) {
        this.startedAt = performance.now();
        this.file = fs.openSync(path.join(folder, "record.txt"), "w");
    }

    write(what) {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
        fs.writeSync(this.file, `${seconds} ${what}\n`);
    }

    get seconds() {
        return (performance.now() - this.startedAt) / 1_000;
    }
}

/** A case runs for 120 s at most. */
const TIME_LIMIT_MS = 118_000;

/** Runs a case: its result is the exit code, 2 if it throws. Ends all processes in any case. */
export async function runCase(folder, run) {
    const record = new Record(folder);
    const temporary = makeTemporaryFolder();
    let code = 2;
    const abandon = (reason) => {
        record.write(`the case could not run: ${reason}`);
        endProcesses();
        process.exit(2);
    };
    process.on("uncaughtException", (error) => abandon(error.stack));
    process.on("SIGTERM", () => abandon("stopped"));
    process.on("SIGINT", () => abandon("stopped"));
    const limit = setTimeout(() => abandon("time limit reached"), TIME_LIMIT_MS);
    try {
        code = await run(record, temporary);
    }
    catch (error) {
        record.write(`the case could not run: ${error.stack}`);
        console.error(error);
    }
    clearTimeout(limit);
    endProcesses();
    if (process.env.KEEP !== "1") {
        await pause(100);
        fs.rmSync(temporary, { recursive: true, force: true });
    }
    else {
        console.log(`logs in ${temporary}`);
    }
    record.write(`exit code ${code}`);
    process.exit(code);
}

/** Whether the case is to disturb the system. */
export const WITH_TROUBLE = process.env.TROUBLE !== "0";

/**
 * An HTTP server over raw sockets, so that it can answer wrongly. Calls `onRequest` for each complete request, for one at a
 * time on a connection: the next one waits until the promise that it returns is settled.
 */
export function makeRawServer(onRequest) {
    return net.createServer((socket) => {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        let buffered = Buffer.alloc(0);
        let served = Promise.resolve();
        socket.on("data", (bytes) => {
            buffered = Buffer.concat([buffered, bytes]);
            for (;;) {
                const end = buffered.indexOf("\r\n\r\n");
                if (end < 0) {
                    return;
                }
                const [first, ...lines] = buffered.subarray(0, end).toString("latin1").split("\r\n");
                const headers = {};
                for (const line of lines) {
                    const colon = line.indexOf(":");
                    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
                }
                let bodyEnd = end + 4 + Number(headers["content-length"] ?? 0);
                if (headers["transfer-encoding"] !== undefined) {
                    const last = buffered.indexOf("0\r\n\r\n", end + 4);
                    if (last < 0) {
                        return;
                    }
                    bodyEnd = last + 5;
                }
                if (buffered.length < bodyEnd) {
                    return;
                }
                const body = buffered.subarray(end + 4, bodyEnd);
                buffered = buffered.subarray(bodyEnd);
                const [method, target] = first.split(" ");
                served = served.then(() =>
                    socket.destroyed ? undefined : onRequest({ method, path: target, headers, body }, socket)
                );
            }
        });
    });
}
