import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as scheduling from "../src/index.js";
import * as support from "./support.js";

const { request, end, report } = support;
const { Prefill, Decode } = scheduling.Role;

function pool(slots: number, decodeEngines = 2, prefillEngines = 2): support.Driver {
    const driver = new support.Driver();
    for (let index = 1; index <= prefillEngines; index++) {
        driver.dispatch(report(`p${index}`, Prefill, 0), 0);
    }
    for (let index = 1; index <= decodeEngines; index++) {
        driver.dispatch(report(`d${index}`, Decode, slots), 0);
    }
    return driver;
}

describe("scheduler", () => {
    it("keeps the golden session", () => {
        const inputs: decision.SessionInput<scheduling.Settings, scheduling.Event>[] = [
            { now: 0, settings: support.settings },
            { now: 0, event: report("p1", Prefill, 0) },
            { now: 0, event: report("d1", Decode, 1) },
            { now: 0, event: report("d2", Decode, 1) },
            { now: 10, event: request("first", 10, { prefixHashes: ["a", "b"] }) },
            { now: 20, event: request("second", 20, { prefixHashes: ["a", "c"] }) },
            { now: 60, event: { kind: scheduling.EventKind.Wake } },
            { now: 70, event: { kind: scheduling.EventKind.Progress, id: "first", prefillMs: 50, prefillDone: true } },
            { now: 80, event: request("third", 80, { workspace: "school" }) },
            { now: 90, event: request("fourth", 90, { deadline: 200, firstTokenDeadline: 150 }) },
            { now: 100, event: { kind: scheduling.EventKind.Progress, id: "first", transferMs: 14, tokenMs: 28 } },
            { now: 2_500, event: { kind: scheduling.EventKind.Wake } },
            { now: 3_000, event: end("first") },
            { now: 3_100, event: request("third", 3_100, { workspace: "school" }) },
            { now: 3_200, event: end("second", ["d2"]) },
            { now: 3_210, event: request("second#1", 20, { avoid: ["d2"], retry: true, promptTokens: 1_050 }) },
            { now: 4_000, event: end("third") },
            { now: 4_100, event: { kind: scheduling.EventKind.HoldersGone, holders: ["host/incarnation"] } },
        ];
        testing.expectGolden(
            new URL("../../test/golden/session.jsonl", import.meta.url).pathname,
            decision.runSession(scheduling.scheduler, inputs),
        );
    });

    it("repeats the grant for a repeated request and places it once", () => {
        const driver = pool(1);
        const [first] = driver.dispatch(request("one", 0), 0);
        chai.expect(driver.dispatch(request("one", 0), 5)).to.deep.equal([first]);
        chai.expect(driver.state.reservations.size).to.equal(1);
    });

    it("refuses a request at once if it avoids every engine of a role", () => {
        const driver = pool(4, 1, 2);
        const patient = { firstTokenDeadline: 1e6, deadline: 1e6, retry: true };
        const [refused] = driver.dispatch(request("avoids", 0, { ...patient, avoid: ["d1"] }), 0);
        chai.expect(refused?.kind).to.equal(scheduling.ActionKind.Refuse);
        driver.dispatch({ kind: scheduling.EventKind.EngineFailed, engine: "d1" }, 0);
        const [again] = driver.dispatch(request("avoids-too", 0, { ...patient, avoid: ["d1"] }), 0);
        chai.expect(again?.kind).to.equal(scheduling.ActionKind.Refuse);
        driver.dispatch(report("d2", Decode, 4), 0);
        const [granted] = driver.dispatch(request("may", 0, { ...patient, avoid: ["p1"] }), 0);
        chai.expect(granted?.kind).to.equal(scheduling.ActionKind.Grant);
    });

    it("shares capacity between workspaces by weight", () => {
        const driver = pool(1, 1, 1);
        driver.dispatch(request("holds", 0), 0);
        const waiting = { firstTokenDeadline: 1e6, deadline: 1e6 };
        for (let index = 0; index < 40; index++) {
            driver.dispatch(request(`guild-${index}`, 0, { ...waiting, workspace: "guild" }), 1);
            driver.dispatch(request(`school-${index}`, 0, { ...waiting, workspace: "school" }), 1);
        }
        const order: string[] = [];
        let placed = "holds";
        for (let now = 1_000; order.length < 25; now += 1_000) {
            const [grant] = driver.grants(end(placed), now);
            placed = grant?.split(":")[0] ?? "";
            order.push(placed.split("-")[0] ?? "");
        }
        const ofGuild = order.filter((workspace) => workspace === "guild").length;
        chai.expect(ofGuild).to.be.within(18, 22);
    });

    it("serves the lower priority number first and the earliest deadline first within a workspace", () => {
        const driver = pool(1, 1, 1);
        driver.dispatch(request("holds", 0), 0);
        driver.dispatch(request("patient", 1, { firstTokenDeadline: 90_000, deadline: 99_000 }), 1);
        driver.dispatch(request("pressed", 1, { firstTokenDeadline: 50_000, deadline: 99_000 }), 1);
        driver.dispatch(request("urgent", 1, { priority: 0, firstTokenDeadline: 95_000, deadline: 99_000 }), 1);
        chai.expect(driver.grants(end("holds"), 1_000)).to.deep.equal(["urgent: p1, d1"]);
        chai.expect(driver.grants(end("urgent"), 2_000)).to.deep.equal(["pressed: p1, d1"]);
        chai.expect(driver.grants(end("pressed"), 3_000)).to.deep.equal(["patient: p1, d1"]);
    });

    it("sheds a request as soon as it can no longer be served in time", () => {
        const driver = pool(1, 1, 1);
        driver.dispatch(request("holds", 0, { outputTokens: 4_000, deadline: 1e6 }), 0);
        chai.expect(driver.dispatch(request("waits", 10, { firstTokenDeadline: 500, deadline: 6_000 }), 10)).to.be
            .empty;
        const wakeAt = driver.state.wakeAt;
        chai.expect(wakeAt).to.be.below(500);
        const [action] = driver.dispatch({ kind: scheduling.EventKind.Wake }, wakeAt);
        chai.expect(action).to.include({ kind: scheduling.ActionKind.Refuse, id: "waits" });
        chai.expect(driver.state.waiting.size).to.equal(0);
    });

    it("keeps a request that missed its first-token deadline while there is spare capacity", () => {
        const driver = pool(1, 1, 1);
        driver.dispatch(request("holds", 0, { outputTokens: 1, deadline: 1e6 }), 0);
        driver.dispatch(request("waits", 10, { firstTokenDeadline: 500, deadline: 6_000 }), 10);
        chai.expect(driver.dispatch({ kind: scheduling.EventKind.Wake }, 1_000)).to.be.empty;
        chai.expect(driver.grants(end("holds"), 1_100)).to.deep.equal(["waits: p1, d1"]);
    });

    it("starts a prefill only once it will finish with a decode slot free", () => {
        const driver = pool(1, 1, 1);
        driver.dispatch(request("holds", 0, { outputTokens: 100 }), 0);
        chai.expect(driver.grants(request("next", 10, { firstTokenDeadline: 9_000 }), 10)).to.be.empty;
        const endsBy = driver.state.engines.get("d1")?.reservations.first()?.[0].endsBy ?? 0;
        const wakeAt = driver.state.wakeAt;
        const [action] = driver.dispatch({ kind: scheduling.EventKind.Wake }, wakeAt);
        chai.expect(action).to.include({ kind: scheduling.ActionKind.Grant, id: "next" });
        const grant = action as Extract<scheduling.Action, { kind: scheduling.ActionKind.Grant; }>;
        chai.expect(grant.startAt + grant.prefillMs).to.be.at.least(endsBy - 0.001);
        chai.expect(grant.startAt + grant.prefillMs).to.be.below(endsBy + support.settings.prefillSurvivalMs);
    });

    it("places at most one suspect request on an engine", () => {
        const driver = pool(5, 2, 2);
        const placed = [0, 1, 2].flatMap((index) =>
            driver.grants(request(`suspect-${index}`, 0, { suspect: true }), index)
        );
        chai.expect(placed).to.have.length(2);
        chai.expect(new Set(placed.flatMap((line) => line.split(": ")[1]?.split(", "))).size).to.equal(4);
        chai.expect(driver.grants(end("suspect-0"), 100)).to.have.length(1);
    });

    it("places a prompt on the engine that has its prefix cached, though cache events are lost or late", () => {
        const driver = pool(5, 1, 3);
        const prefixHashes = ["a", "b", "c"];
        const [first] = driver.grants(request("one", 0, { prefixHashes }), 0);
        const engine = first?.split(": ")[1]?.split(",")[0] ?? "";
        const change = (sequence: number, stored: boolean, hash: string): scheduling.Event => ({
            kind: scheduling.EventKind.CacheChange,
            engine,
            sequence,
            stored,
            hash,
        });
        driver.dispatch(change(1, true, "x"), 200);
        driver.dispatch(change(7, false, "c"), 300);
        chai.expect(driver.grants(request("two", 400, { prefixHashes }), 400)[0]).to.include(engine);
        driver.dispatch(change(8, false, "c"), 3_000);
        driver.dispatch(change(6, true, "c"), 3_000);
        const enginesByHash = driver.state.prefixIndex.enginesByHash;
        chai.expect(enginesByHash.get("c")).to.equal(undefined);
        chai.expect(enginesByHash.get("b")).to.deep.equal([engine]);
    });

    it("avoids a slow engine but probes it again", () => {
        const driver = pool(20, 2, 2);
        driver.grants(request("one", 0), 0);
        driver.grants(request("two", 0), 1);
        const slow = driver.state.reservations.get("one")?.decode ?? "";
        driver.dispatch({ kind: scheduling.EventKind.Progress, id: "one", tokenMs: 300 }, 500);
        driver.dispatch(end("one"), 600);
        const chosenDecodes = (from: number, to: number) =>
            Array.from({ length: to - from }, (_, index) => {
                const now = from + index;
                driver.dispatch(request(`later-${now}`, now * 100), now * 100);
                const reservation = driver.state.reservations.get(`later-${now}`);
                driver.dispatch(end(`later-${now}`), now * 100 + 60);
                return reservation?.decode;
            });
        const chosen = chosenDecodes(10, 60);
        chai.expect(chosen.filter((name) => name === slow)).to.have.length(1);
        chai.expect(chosen).to.have.length(50);
    });

    it("backs off from an engine in a crash loop for longer each time", () => {
        const driver = pool(20, 1, 1);
        const backoffs: number[] = [];
        for (let crash = 0, now = 10_000; crash < 4; crash++, now += 40_000) {
            driver.dispatch(report("d1", Decode, 20, crash * 2 + 1), now);
            driver.dispatch(request(`run-${crash}`, now), now);
            driver.dispatch(end(`run-${crash}`, ["d1"]), now + 100);
            chai.expect(driver.grants(request(`after-${crash}`, now + 110), now + 110)).to.be.empty;
            driver.dispatch(end(`after-${crash}`), now + 120);
            driver.dispatch(report("d1", Decode, 20, crash * 2 + 2), now + 2_000);
            backoffs.push((driver.state.engines.get("d1")?.backoffUntil ?? 0) - now - 100);
        }
        chai.expect(backoffs).to.deep.equal([0, 1_000, 2_000, 4_000]);
    });

    it("refuses retries beyond the retry budget", () => {
        const driver = pool(20, 20, 5);
        let refused = 0;
        for (let index = 0; index < 200; index++) {
            const actions = driver.dispatch(request(`retry-${index}`, index * 100, { retry: true }), index * 100);
            refused += actions.filter((action) => action.kind === scheduling.ActionKind.Refuse).length;
            driver.dispatch(end(`retry-${index}`, [], false), index * 100 + 50);
        }
        chai.expect(refused).to.equal(120);
    });

    it("counts requests that a previous owner placed, and prefers its own count to a report that lags", () => {
        const driver = new support.Driver();
        driver.dispatch(report("p1", Prefill, 0), 0);
        const busy = (running: number, sequence: number): scheduling.Event => {
            const event = report("d1", Decode, 2, sequence);
            return event.kind === scheduling.EventKind.Report
                ? { ...event, report: { ...event.report, running, heldPieces: running * 20 } }
                : event;
        };
        driver.dispatch(busy(1, 0), 0);
        chai.expect(driver.grants(request("one", 10), 10)).to.have.length(1);
        chai.expect(driver.grants(request("two", 20), 20)).to.be.empty;
        chai.expect(driver.grants(busy(0, 1), 300)).to.deep.equal(["two: p1, d1"]);
        driver.dispatch(end("one"), 2_000);
        driver.dispatch(end("two"), 2_000);
        driver.dispatch(busy(2, 2), 2_500);
        chai.expect(driver.state.freeSlots).to.equal(2);
    });
});
