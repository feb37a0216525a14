import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

/** Longer than the time between listings. */
const LISTED_AFTER_MS = 1_300;

// Guards against a request that may have run at an upstream, and is sent to what is registered in its place.
describe("Requests that may run once, and whose answer is lost as their upstream", () => {
    let fixture: fixtures.Fixture;
    let first: fixtures.StandIn;
    const runs: string[] = [];

    const start = async (isEngine: boolean) => {
        fixture = new fixtures.Fixture(4_240);
        const change = isEngine ? { service: "model", stage: routing.EngineStage.Whole } : {};
        first = await fixture.addStandIn("first", change);
        const configuration = fixtures.makeConfiguration();
        const routes = configuration.routes.map((route) => ({ ...route, timeoutMs: 5_000 }));
        await fixture.start({ ...configuration, routes });
        runs.length = 0;
    };
    afterEach(() => fixture.close());

    const changes: readonly (readonly [string, () => void])[] = [
        ["starts again under its id at its address", () => first.upstream = { ...first.upstream, startedAt: 2 }],
        [
            "is registered under another id",
            () => first.upstream = { ...first.upstream, id: "second", startedAt: 2 },
        ],
        ["is registered twice", () => fixture.standIns.push({ ...first, upstream: { ...first.upstream, id: "twin" } })],
    ];
    for (const [what, change] of changes) {
        for (const [kind, path] of [["booking", "/book/1"], ["stream", "/write/1"]] as const) {
            it(`${what}: a ${kind} is not sent again`, async () => {
                await start(kind === "stream");
                first.behave = fixtures.engineThatRuns((received, response, { socket }) => {
                    runs.push(String(received.headers["upstream-id"]));
                    if (runs.length > 1) {
                        fixtures.signed(response, received, "id: 1\ndata: a\n\n");
                        return;
                    }
                    change();
                    setTimeout(() => socket.resetAndDestroy(), LISTED_AFTER_MS);
                });
                const headers = kind === "stream" ? { "prompt-tokens": "500", "output-tokens": "100" } : {};
                const { status } = await fixture.send({ path, headers });
                await lifecycle.pause(fixture.scope, 100);
                chai.expect({ status, runs }).to.deep.equal({ status: 502, runs: ["first"] });
            });
        }
    }
});
