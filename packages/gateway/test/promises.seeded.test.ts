import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_760;
const REQUESTS = 240;
const MAX_SPACING_MS = 12;
const MAX_WAIT_MS = 250;
const STOP_AFTER = 200;
const EVENTS = "id: 1\ndata: a\n\n";
const PROMISES = [408, 421, 429, 503];
const REFUSAL = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n";
const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };

/** How a host refuses a relayed request of which it has run nothing. */
const HOST_REFUSALS = [[503, "unreachable"], [503, "hostStopping"], [429, "overQuota"], [408, "timedOut"]].map(
    ([status, reason]): fixtures.Behaviour => (_, response) =>
        void response.writeHead(Number(status), { "citronlead-relay-refusal": JSON.stringify({ reason }) }).end(),
);

const idOf = ({ headers }: fixtures.Received) => String(headers["request-id"]);

const serve: fixtures.Behaviour = (received, response) => fixtures.signed(response, received, EVENTS);

/** Upstreams that refuse, run, or run and do as if they had not. */
class FaultyFleet {
    readonly runs = new Map<string, number>();
    private lastId = "r-none";

    constructor(private readonly random: decision.Random, private readonly areHosts = false) {}

    private readonly ran = (received: fixtures.Received) => {
        this.runs.set(idOf(received), (this.runs.get(idOf(received)) ?? 0) + 1);
        this.lastId = idOf(received);
    };

    private readonly refusals: readonly fixtures.Behaviour[] = [
        (_, response) => void response.writeHead(503, { "not-run": "1" }).end(),
        (_, response) => void response.writeHead(429, { "not-run": "1" }).write("half"),
        (_, response) => void response.writeHead(this.random.chance(0.05) ? 421 : 503, { "not-run": "1" }).end(),
        (_, response) => {
            response.writeProcessing();
            response.writeHead(503, { "not-run": "1" }).end();
        },
    ];

    private readonly faults: readonly fixtures.Behaviour[] = [
        (received, response) =>
            fixtures.signed(response, received, "full", this.random.pick([...PROMISES.slice(2), 408, 500])),
        (_, response) => void response.writeHead(200, { "not-run": "1", "signature": "s" }).end(EVENTS),
        (_, response) => void response.writeHead(503, { "not-run": "1", "request-id": "r-none" }).end(),
        (_, response) => void response.writeHead(421, { "request-id": `${this.lastId}x` }).end(),
        (_received, _response, request) => void request.socket.write(`${REFUSAL}\r\n`),
        (_received, _response, request) => void request.socket.write(`${REFUSAL}request-id: ${this.lastId}x\r\n\r\n`),
        (_received, _response, request) => void request.socket.destroy(),
        (_received, _response, request) => void request.socket.resetAndDestroy(),
        () => undefined,
    ];

    /** After a wait, refuses as it says, or runs the request and does anything else. */
    readonly behave: fixtures.Behaviour = (received, response, request) => {
        const refuses = this.random.chance(0.4);
        const isSound = this.random.chance(0.3);
        const refusals = this.areHosts ? HOST_REFUSALS : this.refusals;
        const behave = refuses ? this.random.pick(refusals) : isSound ? serve : this.random.pick(this.faults);
        if (!refuses) {
            this.ran(received);
        }
        setTimeout(() => {
            if (!response.destroyed && !response.headersSent) {
                behave(received, response, request);
            }
        }, this.random.chance(0.5) ? 0 : this.random.fraction() * MAX_WAIT_MS);
    };

    /** Grants and refuses reservations, and repeats what it said later. */
    readonly control: fixtures.Behaviour = (_, response, request) => {
        const granted = this.random.chance(0.7);
        response.writeHead(granted ? 200 : 503, granted ? {} : { "not-run": "1" }).end(fixtures.grantReservation());
        if (this.random.chance(0.3)) {
            setTimeout(() => request.socket.write(`${REFUSAL}\r\n`), this.random.fraction() * 5);
        }
    };
}

// Guards against any promise for a request that ran, and against any second run, whatever upstreams and hosts do.
describe("A gateway before faulty upstreams", () => {
    const play = async (fixture: fixtures.Fixture, fleet: FaultyFleet, seed: number) => {
        const callers = decision.seeded(seed + 2_000);
        fixture.retries = { ratio: 1, extra: 10_000, windowMs: 10_000 };
        await fixture.start(fixtures.makeConfiguration());
        const sent: Promise<{ readonly id: string; readonly status: number; }>[] = [];
        for (let index = 0; index < REQUESTS; index++) {
            const id = `r-${index}`;
            const path = `/${callers.pick(["book", "write"])}/${id}`;
            const patience = String(60 + Math.floor(callers.fraction() * 500));
            const headers = { ...PROMPT, "request-id": id, patience };
            const leaves = callers.chance(0.1) ? { disconnectAfterMs: 1 + callers.fraction() * MAX_WAIT_MS } : {};
            sent.push(fixture.send({ path, headers, ...leaves }).then(({ status }) => ({ id, status })));
            if (index === STOP_AFTER) {
                void fixture.stop();
            }
            await lifecycle.pause(fixture.scope, callers.fraction() * MAX_SPACING_MS);
        }
        const answers = await Promise.all(sent);
        await lifecycle.pause(fixture.scope, MAX_WAIT_MS);
        await fixture.close();
        const refusedAndRan = answers.filter(({ id, status }) => PROMISES.includes(status) && fleet.runs.has(id));
        const runTwice = [...fleet.runs].filter(([, count]) => count > 1).map(([id]) => id);
        chai.expect({ seed, refusedAndRan, runTwice }).to.deep.equal({ seed, refusedAndRan: [], runTwice: [] });
        const count = (of: number) => answers.filter(({ status }) => status === of).length;
        chai.expect([200, 502, 503].every((of) => count(of) > 0), "all kinds of answers").to.equal(true);
    };

    it("promises nothing of requests that ran or run later, and runs none twice", async function() {
        this.timeout(60_000);
        for (const seed of testing.seeds([1, 2])) {
            const fixture = new fixtures.Fixture(PORT_OFFSET);
            const fleet = new FaultyFleet(decision.seeded(seed));
            const random = decision.seeded(seed + 1_000);
            const { Whole, Prefill, Decode } = routing.EngineStage;
            for (const [index, stage] of [Whole, Whole, Prefill, Decode].entries()) {
                await fixture.addStandIn(`engine-${index}`, { service: "model", stage });
            }
            await Promise.all(["one", "two", "three"].map((id) => fixture.addStandIn(id)));
            for (const standIn of fixture.standIns) {
                standIn.behave = (received, response, request) => {
                    const isPrefill = received.headers["stage"] === "prefill";
                    if (isPrefill && random.chance(0.7)) {
                        response.end(JSON.stringify({ handle: "h" }));
                        return;
                    }
                    const isRun = /^\/(book|write)\//.test(received.path) && !isPrefill;
                    (isRun ? fleet.behave : fleet.control)(received, response, request);
                };
            }
            await play(fixture, fleet, seed);
        }
    });

    it("promises nothing of requests that other hosts ran or run later, and has none run twice", async function() {
        this.timeout(60_000);
        for (const seed of testing.seeds([1, 2])) {
            const fixture = new fixtures.Fixture(PORT_OFFSET);
            const fleet = new FaultyFleet(decision.seeded(seed), true);
            const unreachable = { address: "127.0.0.1:9" };
            await fixture.addStandIn("one", unreachable);
            await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole, ...unreachable });
            for (const id of ["host-2", "host-3", "host-4"]) {
                const host = await fixture.addStandIn(id);
                fixture.standIns.pop();
                host.behave = fleet.behave;
                fixture.hosts.push(host.upstream.address);
            }
            await play(fixture, fleet, seed);
        }
    });
});
