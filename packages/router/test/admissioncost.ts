import * as lifecycle from "@citronlead/lifecycle";
import * as fakes from "./admissionfakes.js";
import * as realPeers from "./admissionpeers.js";

/**
 * Prints what a charge costs in processor time, both ends in this process: at an owner on the same host, and at an owner on
 * another host over real connections, one charge at a time. Takes the first of two ports as argument.
 */
async function main(): Promise<void> {
    const count = 3_000;
    const terms = { tokensPerSecond: 9e9, burstTokens: 9e9 };
    const scope = new lifecycle.Lifecycle("cost");
    const port = Number(process.argv[2] ?? 21_610);
    const local = new fakes.FakeFleet(["braga"], terms);
    await settleIn(local, "braga");
    report("owner on this host, both ends", await measure(local, "braga", count), count);
    const links = await realPeers.openRealPeers(scope, ["porto", "client"], port);
    const remote = new fakes.FakeFleet(["porto", "client"], terms, 1, links, "porto");
    await settleIn(remote, "client");
    report("owner on another host, both ends", await measure(remote, "client", count), count);
    await Promise.all([local.scope.close(), remote.scope.close(), scope.close()]);
}

async function settleIn(fleet: fakes.FakeFleet, host: string): Promise<void> {
    await measure(fleet, host, 300);
}

async function measure(fleet: fakes.FakeFleet, host: string, count: number): Promise<NodeJS.CpuUsage> {
    const before = process.cpuUsage();
    for (let index = 0; index < count; index++) {
        const deadline = lifecycle.monotonicClock() + 10_000;
        const signal = new AbortController().signal;
        const wish = { requestId: "same", workspace: "atelier", tokens: 100, deadline, signal };
        const charge = await fleet.admission(host).charge(wish);
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
