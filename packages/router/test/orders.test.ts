import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as upstream from "@citronlead/upstream";
import * as chai from "chai";
import * as fs from "node:fs";
import * as path from "node:path";
import type * as contexts from "../src/context.js";
import type * as memberships from "../src/membership/shell.js";
import * as orders from "../src/orders/shell.js";
import * as upstreams from "../src/upstreams.js";
import * as routerContexts from "./context.js";

const PORT_OFFSET = 500;
const EXAMPLE = path.resolve(import.meta.dirname, "../../../../examples/pedra-macia.yaml");
const POOL = "dossierllm";
const TIMING: orders.OrdersTiming = { periodMs: 50, longestOrderMs: 200, longestDrainMs: 1_000, sweepGraceMs: 300 };

function readFleet(minimumSlots: number): configuration.Fleet {
    const text = fs.readFileSync(EXAMPLE, "utf8").replace("minimumSlots: 100", `minimumSlots: ${minimumSlots}`);
    const checked = configuration.parseFleet("example", text);
    chai.expect(checked.valid).to.equal(true);
    return (checked as Extract<typeof checked, { valid: true; }>).value;
}

function fakeConfiguration(fleet: configuration.Fleet) {
    const current: configuration.Configuration = { revision: 1, fleet, keys: [], text: "" };
    return { current: () => current, keysUsable: () => true, onChange: () => () => undefined };
}

function fakeMembership(context: contexts.Context, right: () => number | undefined): memberships.Membership {
    const self = { host: "host-0", incarnation: "1", availabilityZone: "braga-a", peerAddress: "http://127.0.0.1:1" };
    return {
        roster: () => [self],
        ownerOf: () => self,
        rightFor: () => {
            const fencing = right();
            return fencing === undefined ? undefined : { fencing, until: context.clock() + 60_000 };
        },
        settled: () => true,
        onChange: () => undefined,
        beforeHandOver: () => undefined,
        handOver: async () => undefined,
    };
}

async function until(what: string, condition: () => Promise<boolean>, limitMs = 20_000): Promise<void> {
    const endsAt = lifecycle.monotonicClock() + limitMs;
    while (!await condition()) {
        chai.expect(lifecycle.monotonicClock(), what).to.be.below(endsAt);
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
}

describe("orders to engines", () => {
    let scope: lifecycle.Scope;
    let context: contexts.Context;
    let upstreamList: upstreams.Upstreams;
    let offset = PORT_OFFSET;
    let orderArrived: (engineName: string) => void;
    let addresses: string[] = [];

    beforeEach(async () => {
        scope = new lifecycle.Scope("test");
        const port = testing.testPortBase(offset);
        offset += 20;
        orderArrived = () => undefined;
        const rate = 1e12;
        await standins.startPlatform(scope, { address: "127.0.0.1", port, weightRateBytesPerSecond: rate });
        addresses = await Promise.all(
            [1, 2].map((index) => startEngine(scope, port, port + 10 + index, (name) => orderArrived(name))),
        );
        context = routerContexts.makeRouterContext(scope, 0, port);
        upstreamList = upstreams.followUpstreams(context);
        lifecycle.every(scope, 50, () => upstreamList.all(POOL).forEach((one) => void pollLoad(upstreamList, one)));
        await until("load reports", async () => upstreamList.all(POOL).filter((one) => one.load).length === 2);
    });
    afterEach(() => scope.close());

    function start(minimumSlots: number, right: () => number | undefined): orders.Orders {
        const inForce = fakeConfiguration(readFleet(minimumSlots));
        return orders.startOrders(context, inForce, fakeMembership(context, right), upstreamList, TIMING);
    }

    it("change the version of every engine, under the owner's fencing number", async () => {
        start(20, () => 7);
        await until("all changed", async () => (await versions()).every((version) => version === "2026-11"));
        for (const address of addresses) {
            const { orders: taken } = await readJson<{ orders: { fencing: number; }[]; }>(`${address}/standin/counts`);
            chai.expect(taken.map((order) => order.fencing)).to.deep.equal([7]);
        }
    });

    it("keep new work from each engine while its order is prepared and carried out", async () => {
        const excluded = new Set<string>();
        const ordering = start(20, () => 7);
        const notExcluded = new Set<string>();
        orderArrived = (name) => {
            const usable = upstreamList.usable(POOL).some((one) => one.name === name);
            (ordering.excludedUpstreams().has(name) && !usable ? excluded : notExcluded).add(name);
        };
        upstreamList.setExclusionSource(ordering.excludedUpstreams);
        lifecycle.every(scope, 5, () => {
            const usable = upstreamList.usable(POOL).map((one) => one.name);
            chai.expect(usable.filter((name) => ordering.excludedUpstreams().has(name))).to.deep.equal([]);
        });
        await until("all changed", async () => (await versions()).every((version) => version === "2026-11"));
        chai.expect([...notExcluded], "usable when their orders arrived").to.deep.equal([]);
        chai.expect(excluded.size).to.equal(2);
        await until("both back in service", async () => upstreamList.usable(POOL).length === 2);
    });

    it("are not sent when no slots can be spared, nor by a host that does not own the pool", async () => {
        start(40, () => 7);
        start(0, () => undefined);
        await new Promise((resolve) => setTimeout(resolve, 20 * TIMING.periodMs));
        chai.expect(await versions()).to.deep.equal(["2026-10", "2026-10"]);
    });

    it("release only the memory of router processes that are gone", async () => {
        const target = { address: addresses[0] ?? "", timeoutMs: 1_000 };
        for (const [requestId, holder] of [["a", "host-9/gone"], ["b", "host-0/1"]] as const) {
            // The result of a prefill holds memory until it is taken or released.
            await upstream.prefill(target, { requestId, attempt: 0, holder, prompt: "lot 7", priority: 0 });
        }
        start(40, () => 7);
        await until("memory released", async () => {
            const held = await upstream.readHeldMemory(target);
            return held.result === upstream.CallResult.Done && held.value.held.length === 1;
        });
        const held = await upstream.readHeldMemory(target);
        chai.expect(held.result === upstream.CallResult.Done && held.value.held[0]?.holder).to.equal("host-0/1");
    });

    async function versions(): Promise<string[]> {
        const loads = await Promise.all(
            addresses.map((address) => readJson<{ version: string; }>(`${address}/engine/load`)),
        );
        return loads.map((load) => load.version);
    }
});

async function readJson<Value>(url: string): Promise<Value> {
    return await (await fetch(url)).json() as Value;
}

async function pollLoad(upstreamList: upstreams.Upstreams, one: upstreams.KnownUpstream): Promise<void> {
    const outcome = await upstream.readLoad({ address: one.address, timeoutMs: 1_000 });
    if (outcome.result === upstream.CallResult.Done) {
        upstreamList.recordLoad(one.name, outcome.value);
    }
}

async function startEngine(
    scope: lifecycle.Scope,
    platformPort: number,
    port: number,
    orderArrived: (engineName: string) => void,
): Promise<string> {
    const address = `http://127.0.0.11:${port}`;
    await standins.startEngine(scope, {
        address: "127.0.0.11",
        port,
        role: "decode",
        model: POOL,
        version: "2026-10",
        slots: 20,
        memoryPieces: 1_000,
        pieceTokens: 64,
        prefillTokenMs: 0,
        decodeTokenMs: 1,
        survivalMs: 60_000,
        checksFencing: true,
        crash: () => undefined,
        orderArrived: () => orderArrived(`engine-${port}`),
    });
    await fetch(`http://127.0.0.1:${platformPort}/hosts`, {
        method: "PUT",
        body: JSON.stringify({ name: `engine-${port}`, pool: POOL, address, availabilityZone: "a", state: "live" }),
    });
    return address;
}
