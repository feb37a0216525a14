import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as standins from "@citronlead/standins";
import * as chai from "chai";
import * as fs from "node:fs";
import type * as configurations from "../src/configurationshell.js";
import type * as contexts from "../src/context.js";
import type * as memberships from "../src/membershipshell.js";
import type * as peers from "../src/peers.js";
import * as schedulings from "../src/schedulingshell.js";
import * as upstreams from "../src/upstreams.js";
import * as fixture from "./modelpathfixture.js";

const EXAMPLE = new URL("../../../../examples/pedra-macia.yaml", import.meta.url).pathname;

function readFleet(): configuration.Fleet {
    const parsed = configuration.parseFleet(EXAMPLE, fs.readFileSync(EXAMPLE, "utf8"));
    if (!parsed.valid) {
        throw new Error("the example is not valid");
    }
    return parsed.value;
}

/** Two hosts in one process: what one sends arrives at the other unless the link is cut. */
class TestHosts {
    readonly owner = { host: "host-1", incarnation: "first", availabilityZone: "braga-a", peerAddress: "" };
    readonly other = { host: "host-2", incarnation: "first", availabilityZone: "porto-b", peerAddress: "" };
    cut = false;
    private readonly receivers = new Map<string, peers.Receiver>();

    links(host: memberships.RosterHost): peers.Peers {
        return {
            send: (to, _address, body) => {
                if (!this.cut && body?.case === "scheduling") {
                    const arrival = { sender: host.host, senderIncarnation: host.incarnation, message: { body } };
                    setTimeout(() => this.receivers.get(to)?.(arrival as peers.Arrival), 1);
                }
            },
            receive: (_kind, receiver) => this.receivers.set(host.host, receiver),
        };
    }

    membership(self: memberships.RosterHost): memberships.Membership {
        return {
            roster: () => [this.owner, this.other],
            ownerOf: () => this.owner,
            rightFor: () => self === this.owner ? { fencing: 1, until: Infinity } : undefined,
            settled: () => true,
            onChange: () => undefined,
            beforeHandOver: () => undefined,
            handOver: async () => undefined,
        };
    }
}

describe("scheduling between hosts", () => {
    let scope: lifecycle.Lifecycle;
    let platform: string;
    let engines: fixture.TestEngine[];
    let hosts: TestHosts;

    beforeEach(async () => {
        scope = new lifecycle.Lifecycle("test");
        const listening = await standins.startPlatform(scope, {
            address: "127.0.0.1",
            port: 0,
            weightRateBytesPerSecond: 1e9,
        });
        platform = listening.address;
        engines = [
            await fixture.startEngine(scope, "prefill-1", "prefill"),
            await fixture.startEngine(scope, "decode-1", "decode"),
            await fixture.startEngine(scope, "decode-2", "decode"),
        ];
        await Promise.all(engines.map((engine) => list(engine, "live")));
        hosts = new TestHosts();
    });
    afterEach(() => scope.close());

    const engine = (name: string) => engines.find((one) => one.name === name) as fixture.TestEngine;

    async function list(one: fixture.TestEngine, state: string): Promise<void> {
        const row = { name: one.name, pool: "dossierllm", address: one.address, availabilityZone: "braga-a", state };
        await fetch(`${platform}/hosts`, { method: "PUT", body: JSON.stringify(row) });
    }

    async function start(
        host: memberships.RosterHost,
    ): Promise<{ context: contexts.Context; known: upstreams.Upstreams; scheduling: schedulings.Scheduling; }> {
        const context = fixture.makeContext(scope.child(host.host), platform, host.host);
        const current = { fleet: readFleet(), revision: 1 };
        const inForce = { current: () => current, onChange: () => () => undefined };
        const known = upstreams.followUpstreams(context);
        await until(() => known.all("dossierllm").length === engines.length);
        const scheduling = schedulings.startScheduling(
            context,
            inForce as unknown as configurations.ConfigurationInForce,
            hosts.membership(host),
            known,
            hosts.links(host),
        );
        if (host === hosts.owner) {
            await until(() => known.all("dossierllm").every((one) => one.load));
        }
        return { context, known, scheduling };
    }

    async function until(condition: () => boolean): Promise<void> {
        const endsAt = lifecycle.monotonicClock() + 10_000;
        while (!condition()) {
            chai.expect(lifecycle.monotonicClock()).to.be.below(endsAt);
            await new Promise((resolve) => setTimeout(resolve, 20));
        }
    }

    let count = 0;
    function wish(clock: number, more: Partial<schedulings.PlacementWish> = {}): schedulings.PlacementWish {
        return {
            requestId: `wish-${count++}`,
            pool: "dossierllm",
            workspace: "guild",
            priority: 2,
            promptTokens: 100,
            outputTokens: 400,
            firstTokenDeadline: clock + 5_000,
            deadline: clock + 20_000,
            suspect: false,
            prefixHashes: ["00000000000000ab", "00000000000000cd", "ff000000000000ef"],
            avoid: [],
            signal: new AbortController().signal,
            ...more,
        };
    }

    async function place(
        host: { context: contexts.Context; scheduling: schedulings.Scheduling; },
        more: Partial<schedulings.PlacementWish> = {},
    ): Promise<schedulings.Placement> {
        const outcome = await host.scheduling.place(wish(host.context.clock(), more));
        if (!outcome.placed) {
            throw new Error(`not placed: ${outcome.refusal}`);
        }
        return outcome.placement;
    }

    it("places the requests of both hosts in the same slots, and takes them back", async () => {
        const [first, second] = [await start(hosts.owner), await start(hosts.other)];
        const held = await Promise.all(
            Array.from({ length: 8 }, (_, index) => place(index % 2 === 0 ? first : second)),
        );
        const perEngine = held.filter((placement) => placement.decode.name === "decode-1").length;
        chai.expect(perEngine).to.equal(4);
        const late = place(second);
        const early = await Promise.race([late, new Promise((resolve) => setTimeout(() => resolve("waits"), 200))]);
        chai.expect(early).to.equal("waits");
        held[0]?.end({ outputTokens: 10, failed: [], whole: true });
        chai.expect((await late).decode.name).to.equal(held[0]?.decode.name);
    });

    it("places without the owner when it can't be reached, before the deadline", async () => {
        const [, second] = [await start(hosts.owner), await start(hosts.other)];
        hosts.cut = true;
        const startedAt = second.context.clock();
        const placement = await place(second);
        chai.expect(placement.prefill.name).to.equal("prefill-1");
        chai.expect(second.context.clock() - startedAt).to.be.below(10_000);
        hosts.cut = false;
        chai.expect((await place(second)).prefillMs).to.be.a("number");
    });

    it("answers a request that goes away while it waits", async () => {
        const first = await start(hosts.owner);
        await Promise.all(Array.from({ length: 8 }, () => place(first)));
        const abort = new AbortController();
        const waiting = first.scheduling.place(wish(first.context.clock(), { signal: abort.signal }));
        setTimeout(() => abort.abort(), 50);
        chai.expect(await waiting).to.include({ placed: false, refusal: schedulings.PlacementRefusal.Aborted });
    });

    const waysToLeave: Readonly<Record<string, () => Promise<void>>> = {
        "the list says that it departs": () => list(engine("decode-1"), "departing"),
        "it says so itself and the list is wrong": () => fixture.setFaults(engine("decode-1"), { departing: true }),
        "it is gone and the list lags": () => engine("decode-1").scope.close(),
    };
    for (const [way, leave] of Object.entries(waysToLeave)) {
        it(`gives an upstream no new work a few seconds after ${way}`, async () => {
            const [first, second] = [await start(hosts.owner), await start(hosts.other)];
            (await place(first)).end({ outputTokens: 1, failed: [], whole: true });
            await leave();
            await new Promise((resolve) => setTimeout(resolve, 1_500));
            for (let index = 0; index < 6; index++) {
                const placement = await place(index % 2 === 0 ? first : second);
                chai.expect(placement.decode.name).to.equal("decode-2");
                placement.end({ outputTokens: 1, failed: [], whole: true });
            }
        });
    }
});
