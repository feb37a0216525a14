import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as chai from "chai";
import type * as logs from "../src/log.js";
import * as messages from "../src/messages.js";
import * as metrics from "../src/metrics.js";
import * as turns from "../src/turns.js";
import * as fixtures from "./fixture.js";

const HOSTS = Array.from({ length: 18 }, (_, index) => `host:${index + 1}`);
const OWNER = dispatch.ownerOf(HOSTS, "model") as string;
const OTHERS = HOSTS.filter((host) => host !== OWNER);
const CAPACITY = 10;

/** Hosts whose messages pass through memory; a link or host can be cut off or paused. */
class Network {
    readonly scope = new lifecycle.Scope("test");
    readonly hosts = new Map<string, turns.HostTurns>();
    readonly sent: { from: string; to: string; message: messages.TurnMessage; }[] = [];
    isCut: (from: string, to: string) => boolean = () => false;
    /** Messages to a paused host, which it reads when it goes on. */
    private readonly kept = new Map<string, (() => void)[]>();
    /** Hosts that a host knows of. */
    hostsOf: (host: string) => readonly string[] = () => HOSTS;

    constructor() {
        const candidate: dispatch.Candidate = {
            upstream: fixtures.makeUpstream("engine", { service: "model" }),
            health: new dispatch.UpstreamHealth(),
        };
        const table = {
            serviceByName: new Map([["model", { engine: { kvCacheTokens: CAPACITY } }]]),
        };
        for (const host of HOSTS) {
            const context = {
                scope: this.scope,
                clock: lifecycle.monotonicClock,
                random: () => 0.5,
                log: { decision: () => undefined, notice: () => undefined } as unknown as logs.DecisionLog,
                metrics: metrics.makeGatewayMetrics(() => 0),
                pool: { candidates: () => [candidate] },
                storeView: { hosts: () => this.hostsOf(host), activeConfiguration: () => ({ table }) },
            } as unknown as ConstructorParameters<typeof turns.HostTurns>[0];
            const hostTurns = new turns.HostTurns(context, host, "a");
            hostTurns.setChannel((message, to) => this.pass(host, to, message));
            this.hosts.set(host, hostTurns);
        }
    }

    pause(host: string): void {
        this.kept.set(host, []);
    }

    goOn(host: string): void {
        const kept = this.kept.get(host) ?? [];
        this.kept.delete(host);
        kept.forEach((receive) => receive());
    }

    at(host: string): turns.HostTurns {
        return this.hosts.get(host) as turns.HostTurns;
    }

    private pass(from: string, to: string, message: messages.TurnMessage): void {
        this.sent.push({ from, to, message });
        const read = messages.parseMessage(Buffer.from(JSON.stringify(message))) as messages.TurnMessage;
        const receive = () => this.at(to).receive(read, from);
        setTimeout(() => {
            if (!this.isCut(from, to)) {
                const kept = this.kept.get(to);
                kept ? kept.push(receive) : receive();
            }
        }, 1);
    }
}

describe("Turns over hosts", () => {
    let network: Network;
    const never = new AbortController().signal;
    const question = (change: Partial<turns.TurnQuestion> = {}): turns.TurnQuestion => ({
        service: "model",
        route: "write",
        urgency: 1,
        targetAt: lifecycle.monotonicClock() + 9_000,
        deadlineAt: lifecycle.monotonicClock() + 20_000,
        workspace: "north",
        workspaceWeight: 1,
        hadRoom: false,
        content: `content-${Math.random()}`,
        amount: CAPACITY,
        ...change,
    });
    const ask = async (host: string, change: Partial<turns.TurnQuestion> = {}) => {
        const startedAt = lifecycle.monotonicClock();
        const seeker = network.at(host).seek(question(change));
        const answer = await seeker?.next(never);
        return { seeker, answer, tookMs: lifecycle.monotonicClock() - startedAt };
    };
    const run = { service: "model", route: "write", place: "engine@1", amount: CAPACITY };

    beforeEach(() => network = new Network());
    afterEach(() => network.scope.close());

    it("go to the most urgent waiter of any host as soon as a run ends, wherever it ran", async () => {
        const [one, two, three] = OTHERS as [string, string, string];
        (await ask(two, { amount: 1 })).seeker?.withdraw();
        await lifecycle.pause(network.scope, 50);
        const id = network.at(one).begin(run, undefined);
        const order: string[] = [];
        const usual = ask(two, { urgency: 2 }).then((result) => (order.push("usual"), result));
        await lifecycle.pause(network.scope, 50);
        const urgent = ask(three, { urgency: 0, amount: 1 }).then((result) => (order.push("urgent"), result));
        await lifecycle.pause(network.scope, 100);
        chai.expect(order).to.deep.equal([]);
        const endedAt = lifecycle.monotonicClock();
        network.at(one).end(id);
        const { answer, seeker } = await urgent;
        chai.expect(lifecycle.monotonicClock() - endedAt).to.be.below(200);
        chai.expect(answer).to.deep.equal({ kind: "try", place: "engine@1" });
        network.at(three).end(network.at(three).begin({ ...run, amount: 1 }, seeker));
        chai.expect((await usual).answer?.kind).to.equal("try");
        chai.expect(order).to.deep.equal(["urgent", "usual"]);
    });

    it("are refused at once if no room comes in time, by what hosts report of their runs", async () => {
        network.at(OTHERS[0] as string).begin(run, undefined);
        const { answer, tookMs } = await ask(OTHERS[1] as string, {
            targetAt: lifecycle.monotonicClock() + 400,
            urgency: 0,
        });
        chai.expect(answer?.kind).to.equal("refuse");
        chai.expect(tookMs).to.be.below(200);
    });

    it("are not waited for if the owner is dead; the next request does not ask it", async () => {
        network.isCut = (_, to) => to === OWNER;
        const { answer, tookMs } = await ask(OTHERS[0] as string);
        chai.expect(answer).to.equal(undefined);
        chai.expect(tookMs).to.be.below(300);
        chai.expect(network.at(OTHERS[0] as string).seek(question())).to.equal(undefined);
    });

    it("go on for the others while the owner is cut off from a third of the hosts", async () => {
        const cut = OTHERS.slice(0, 6);
        network.isCut = (from, to) => (cut.includes(from) && to === OWNER) || (cut.includes(to) && from === OWNER);
        const results = await Promise.all(OTHERS.map((host) => ask(host, { amount: CAPACITY / 20 })));
        chai.expect(results.map(({ answer }) => answer?.kind))
            .to.deep.equal(OTHERS.map((host) => cut.includes(host) ? undefined : "try"));
    });

    it("of an owner that pauses for two seconds come too late, and leave no room taken", async () => {
        const [one, two] = OTHERS as [string, string];
        network.pause(OWNER);
        chai.expect((await ask(one)).answer).to.equal(undefined);
        await lifecycle.pause(network.scope, 2_000);
        network.goOn(OWNER);
        await lifecycle.pause(network.scope, 100);
        chai.expect((await ask(two)).answer).to.deep.equal({ kind: "try", place: "engine@1" });
    }).timeout(10_000);

    it("of two owners may both name a place; what it refuses goes back to its order", async () => {
        const [one, two] = OTHERS as [string, string];
        network.hostsOf = (host) => host === two ? HOSTS.filter((each) => each !== OWNER) : HOSTS;
        const [first, second] = await Promise.all([ask(one), ask(two)]);
        chai.expect([first.answer?.kind, second.answer?.kind]).to.deep.equal(["try", "try"]);
        const id = network.at(one).begin(run, first.seeker);
        second.seeker?.giveBack(dispatch.TurnProblem.Full);
        const next = second.seeker?.next(never);
        await lifecycle.pause(network.scope, 300);
        network.at(one).end(id);
        chai.expect((await next)?.kind).to.equal("try");
    });

    it("cost a host as many messages in a fleet of any size", async () => {
        const [one] = OTHERS as [string];
        await ask(one, { amount: 1 });
        await lifecycle.pause(network.scope, 50);
        for (const host of OTHERS.slice(1)) {
            chai.expect(network.sent.filter(({ from }) => from === host).length).to.be.at.most(1);
        }
    });
});
