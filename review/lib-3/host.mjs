// Starts the project's program as the deploy file says, with settings like those of a small deployment.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as path from "node:path";
import * as url from "node:url";

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");

/** A port that nothing listens at. */
export async function freePort() {
    const server = net.createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    await new Promise((resolve) => server.close(resolve));
    return port;
}

/** The command of the role `edge` in the deploy file, with another port for its metrics. */
function command(metricsPort) {
    const text = fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8");
    const run = /\[roles\.edge\][^[]*?\nrun = "([^"]+)"/.exec(text)[1];
    return run.replace(/--metrics \d+\//, `--metrics ${metricsPort}/`).split(" ");
}

export class Host {
    constructor(name, folder, storeAddress, bounds = {}, memoryMb = 200) {
        Object.assign(this, { name, folder, storeAddress, bounds, memoryMb });
    }

    async prepare() {
        const [front, ready, control, peers, metrics] = await Promise.all([1, 2, 3, 4, 5].map(() => freePort()));
        Object.assign(this, { front, ready, metrics, peerAddress: `127.0.0.1:${peers}` });
        const bounds = {
            seed_lag_s: 3,
            reuse_after_s: 2,
            stable_ms: 3000,
            ack_ms: 4000,
            catch_up_s: 4,
            drain_ms: 2000,
            grace_s: 8,
            loss_slack_ms: 200,
            config_apply_ms: 2000,
            revert_slack_ms: 250,
            skew_max_ms: 5000,
            fail_closed: false,
            revoke_ms: 5000,
            retry_budget_ratio: 0.2,
            budget_window_s: 10,
            budget_extra: 58,
            quota_window_s: 8,
            quota_overshoot: 0.1,
            quota_slack: 190000,
            recovery_s: 12,
            transit_ms: 120,
            retry_after_s: 7.1,
            fencing_required: false,
            lease_ms: 3000,
            thaw_slack_ms: 300,
            ...this.bounds,
        };
        this.settingsFile = path.join(this.folder, `${this.name}.toml`);
        fs.writeFileSync(
            this.settingsFile,
            [
                `node = "${this.name}"`,
                `role = "edge"`,
                `machine_class = "edge"`,
                `serves = ["edge"]`,
                `ip = "127.0.0.1"`,
                `zone = "zone-a"`,
                `region = "region-a"`,
                `port_range = [${peers},${peers}]`,
                `seeds = []`,
                `bootstrap = true`,
                `in_fault_budget = false`,
                `discovery = "platform"`,
                `entry = "vip"`,
                `heartbeat_ms = 1200`,
                `contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]`,
                `[zones]`,
                `zone-a = "region-a"`,
                `[listen]`,
                `front = "127.0.0.1:${front}"`,
                `ready = "127.0.0.1:${ready}"`,
                `control = "127.0.0.1:${control}"`,
                `[limits]`,
                `cpu_share = 0.675`,
                `cores = 1`,
                `memory_mb = ${this.memoryMb}`,
                `max_fds = 4100`,
                `link_mbps = 1000.0`,
                `disk_mb = 0`,
                `[tolerate]`,
                `machines = 2`,
                `zones = 0`,
                `regions = 0`,
                `[bounds]`,
                ...Object.entries(bounds).map(([name, value]) => `${name} = ${value}`),
                `[platform]`,
                `address = "${this.storeAddress}"`,
                `form = "kv"`,
                `writes_per_s = 400`,
                `reads_per_s = 2000`,
                `history_s = 20`,
                `value_bytes = 1048576`,
                `ttl_min_ms = 1000`,
                "",
            ].join("\n"),
        );
    }

    start() {
        const [program, ...args] = command(this.metrics);
        const out = fs.openSync(path.join(this.folder, `${this.name}.log`), "a");
        this.process = childProcess.spawn(program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: this.folder, CITRONLEAD_SETTINGS: this.settingsFile },
            stdio: ["ignore", out, out],
        });
        fs.closeSync(out);
        this.exited = new Promise((resolve) =>
            this.process.once("exit", (code, signal) => {
                this.exit = { code, signal };
                resolve();
            })
        );
        this.exit = undefined;
    }

    async waitReady(timeoutMs = 15_000) {
        const endsAt = performance.now() + timeoutMs;
        while (performance.now() < endsAt) {
            if (await this.isReady()) {
                return true;
            }
            await new Promise((resolve) => setTimeout(resolve, 100));
        }
        return false;
    }

    isReady() {
        return new Promise((resolve) => {
            const request = http.get(
                { host: "127.0.0.1", port: this.ready, path: "/-/ready", timeout: 1_000 },
                (response) => {
                    response.resume();
                    resolve(response.statusCode === 200);
                },
            );
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    }

    async kill(signal = "SIGKILL") {
        if (this.process && this.exit === undefined) {
            this.process.kill(signal);
            await this.exited;
        }
    }
}
