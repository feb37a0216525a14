import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as standins from "@citronlead/standins";
import * as chai from "chai";
import * as fs from "node:fs";
import type * as configurations from "../src/configuration/shell.js";
import type * as contexts from "../src/context.js";
import type * as memberships from "../src/membership/shell.js";
import type * as peers from "../src/peers/transport.js";
import * as schedulings from "../src/scheduling/shell.js";
import * as upstreams from "../src/upstreams.js";
import * as fixture from "./model/fixture.js";

const EXAMPLE = new URL("../../../../examples/pedra-macia.yaml", import.meta.url).pathname;

function readExampleFleet(): configuration.Fleet {
    const parsed = configuration.parseFleet(EXAMPLE, fs.readFileSync(EXAMPLE, "utf8"));
    if (!parsed.valid) {
        throw new Error("the example configuration is not valid");
    }
    return parsed.value;
}

/** Two hosts in one process. Messages between them arrive unless `disconnected` is set. */
class TestHosts {
    readonly owner = { host: "host-1", incarnation: "first", availabilityZone: "braga-a", peerAddress: "" };
    readonly other = { host: "host-2", incarnation: "first", availabilityZone: "porto-b", peerAddress: "" };
    disconnected = false;
    private readonly handlers = new Map<string, peers.MessageHandler>();

    makeTransport(host: memberships.RosterHost): peers.PeerTransport {
        return {
            send: (to, _address, body) => {
                if (!this.disconnected && body?.case === "scheduling") {
                    const received = { sender: host.host, senderIncarnation: host.incarnation, message: { body } };
                    setTimeout(() => this.handlers.get(to)?.(received as peers.ReceivedMessage), 1);
                }
            },
            onMessage: (_kind, handler) => this.handlers.set(host.host, handler),
        };
    }

    makeMembership(self: memberships.RosterHost): memberships.Membership {
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
    let scope: lifecycle.Scope;
    let platform: string;
    let engines: fixture.TestEngine[];
    let hosts: TestHosts;

    beforeEach(async () => {
        scope = new lifecycle.Scope("test");
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
        await Promise.all(engines.map((engine) => setListing(engine, "live")));
        hosts = new TestHosts();
    });
    afterEach(() => scope.close());

    const engine = (name: string) => engines.find((candidate) => candidate.name === name) as fixture.TestEngine;

    async function setListing(testEngine: fixture.TestEngine, state: string): Promise<void> {
        const listing = {
            name: testEngine.name,
            pool: "dossierllm",
            address: testEngine.address,
            availabilityZone: "braga-a",
            state,
        };
        await fetch(`${platform}/hosts`, { method: "PUT", body: JSON.stringify(listing) });
    }

    async function startHost(
        host: memberships.RosterHost,
    ): Promise<{ context: contexts.Context; upstreamList: upstreams.Upstreams; scheduling: schedulings.Scheduling; }> {
        const context = fixture.makeContext(scope.child(host.host), platform, host.host);
        const current = { fleet: readExampleFleet(), revision: 1 };
        const inForce = { current: () => current, onChange: () => () => undefined };
        const upstreamList = upstreams.followUpstreams(context);
        await until(() => upstreamList.all("dossierllm").length === engines.length);
        const scheduling = schedulings.startScheduling(
            context,
            inForce as unknown as configurations.ConfigurationInForce,
            hosts.makeMembership(host),
            upstreamList,
            hosts.makeTransport(host),
        );
        if (host === hosts.owner) {
            await until(() => upstreamList.all("dossierllm").every((one) => one.load));
        }
        return { context, upstreamList, scheduling };
    }

    async function until(condition: () => boolean): Promise<void> {
        const endsAt = lifecycle.monotonicClock() + 10_000;
        while (!condition()) {
            chai.expect(lifecycle.monotonicClock()).to.be.below(endsAt);
            await new Promise((resolve) => setTimeout(resolve, 20));
        }
    }

    let count = 0;
    function makeRequest(
        clock: number,
        overrides: Partial<schedulings.PlacementRequest> = {},
    ): schedulings.PlacementRequest {
        return {
            requestId: `request-${count++}`,
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
            ...overrides,
        };
    }

    async function place(
        host: { context: contexts.Context; scheduling: schedulings.Scheduling; },
        overrides: Partial<schedulings.PlacementRequest> = {},
    ): Promise<schedulings.Placement> {
        const outcome = await host.scheduling.place(makeRequest(host.context.clock(), overrides));
        if (!outcome.placed) {
            throw new Error(`not placed: ${outcome.refusal}`);
        }
        return outcome.placement;
    }

    it("shares the slots between the requests of both hosts, and reuses a slot that was freed", async () => {
        const [first, second] = [await startHost(hosts.owner), await startHost(hosts.other)];
        const placements = await Promise.all(
            Array.from({ length: 8 }, (_, index) => place(index % 2 === 0 ? first : second)),
        );
        const onFirstEngine = placements.filter((placement) => placement.decode.name === "decode-1").length;
        chai.expect(onFirstEngine).to.equal(4);
        const queued = place(second);
        const whileFull = await Promise.race([
            queued,
            new Promise((resolve) => setTimeout(() => resolve("waits"), 200)),
        ]);
        chai.expect(whileFull).to.equal("waits");
        placements[0]?.end({ outputTokens: 10, failed: [], whole: true });
        chai.expect((await queued).decode.name).to.equal(placements[0]?.decode.name);
    });

    it("places a request without the owner when it is unreachable, before the deadline", async () => {
        const [, second] = [await startHost(hosts.owner), await startHost(hosts.other)];
        hosts.disconnected = true;
        const startedAt = second.context.clock();
        const placement = await place(second);
        chai.expect(placement.prefill.name).to.equal("prefill-1");
        chai.expect(second.context.clock() - startedAt).to.be.below(10_000);
        hosts.disconnected = false;
        chai.expect((await place(second)).prefillMs).to.be.a("number");
    });

    it("refuses a request that is aborted while it is queued", async () => {
        const first = await startHost(hosts.owner);
        await Promise.all(Array.from({ length: 8 }, () => place(first)));
        const abort = new AbortController();
        const queued = first.scheduling.place(makeRequest(first.context.clock(), { signal: abort.signal }));
        setTimeout(() => abort.abort(), 50);
        chai.expect(await queued).to.include({ placed: false, refusal: schedulings.PlacementRefusal.Aborted });
    });

    const departures: Readonly<Record<string, () => Promise<void>>> = {
        "the list marks it as departing": () => setListing(engine("decode-1"), "departing"),
        "it reports that it is departing and the list still has it as live": () =>
            fixture.setFaults(engine("decode-1"), { departing: true }),
        "it stopped and the list still has it as live": () => engine("decode-1").scope.close(),
    };
    for (const [departure, depart] of Object.entries(departures)) {
        it(`gives an upstream no new work a few seconds after ${departure}`, async () => {
            const [first, second] = [await startHost(hosts.owner), await startHost(hosts.other)];
            (await place(first)).end({ outputTokens: 1, failed: [], whole: true });
            await depart();
            await new Promise((resolve) => setTimeout(resolve, 1_500));
            for (let index = 0; index < 6; index++) {
                const placement = await place(index % 2 === 0 ? first : second);
                chai.expect(placement.decode.name).to.equal("decode-2");
                placement.end({ outputTokens: 1, failed: [], whole: true });
            }
        });
    }
});
