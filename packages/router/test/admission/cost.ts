import * as lifecycle from "@citronlead/lifecycle";
import * as fakes from "./fakes.js";
import * as realPeers from "./peers.js";

/**
 * Prints the processor time of a charge, with both ends in this process: with an owner on the same host, and with an
 * owner on another host over real connections. Charges run one at a time. The argument is the first of two ports.
 */
async function main(): Promise<void> {
    const count = 3_000;
    const rate = { tokensPerSecond: 9e9, burstTokens: 9e9 };
    const scope = new lifecycle.Scope("cost");
    const port = Number(process.argv[2] ?? 21_610);
    const local = new fakes.FakeFleet(["braga"], rate);
    await warmUp(local, "braga");
    report("owner on this host, both ends", await measure(local, "braga", count), count);
    const transport = await realPeers.openRealPeers(scope, ["porto", "client"], port);
    const remote = new fakes.FakeFleet(["porto", "client"], rate, 1, transport, "porto");
    await warmUp(remote, "client");
    report("owner on another host, both ends", await measure(remote, "client", count), count);
    await Promise.all([local.scope.close(), remote.scope.close(), scope.close()]);
}

async function warmUp(fleet: fakes.FakeFleet, host: string): Promise<void> {
    await measure(fleet, host, 300);
}

async function measure(fleet: fakes.FakeFleet, host: string, count: number): Promise<NodeJS.CpuUsage> {
    const before = process.cpuUsage();
    for (let index = 0; index < count; index++) {
        const deadline = lifecycle.monotonicClock() + 10_000;
        const signal = new AbortController().signal;
        const request = { requestId: "same", workspace: "atelier", tokens: 100, deadline, signal };
        const charge = await fleet.admission(host).charge(request);
        if (!charge.granted) {
            throw new Error("a charge was refused");
        }
        charge.settle(50);
    }
    return process.cpuUsage(before);
}

function report(what: string, { user, system }: NodeJS.CpuUsage, count: number): void {
    process.stdout.write(
        JSON.stringify({ what, charges: count, microsecondsPerCharge: (user + system) / count }) + "\n",
    );
}

void main();
