import * as chai from "chai";
import * as routing from "../src/index.js";

function upstream(id: string, change: Partial<routing.Upstream> = {}): routing.Upstream {
    return {
        id,
        service: "model",
        address: "10.0.0.1:1",
        availabilityZone: "a",
        state: routing.UpstreamState.Ready,
        slots: 8,
        stage: routing.EngineStage.Decode,
        softwareVersion: "v1",
        startedAt: 1,
        warmUpLeftMs: 0,
        ...change,
    };
}

function configuration(version: number, hostNames: readonly string[]): routing.RoutingConfiguration {
    const route = (hostName: string): routing.Route => ({
        name: hostName,
        hostName,
        pathPrefix: "/",
        kind: routing.RouteKind.Idempotent,
        timeoutMs: 1_000,
        latencyTargetMs: 200,
        eventGapTargetMs: undefined,
        priority: 1,
        targets: [{ service: "counter", weight: 1 }],
        maxAttempts: 2,
        allowsAnonymous: false,
        generative: false,
        resumable: false,
    });
    return {
        version,
        routes: hostNames.map(route),
        services: [],
        workspaces: undefined,
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
}

describe("Changes that readers tell", () => {
    const former = Array.from({ length: 60 }, (_, index) => upstream(`e-${index}`));

    it("give the listing that the reader has, from the one that it started from only", () => {
        const draining = { state: routing.UpstreamState.Draining };
        const next = [...former.slice(1, 59), upstream("e-59", draining), upstream("new", { warmUpLeftMs: 10 })];
        const digest = routing.digestUpstreams(next);
        const change = routing.diffListings(former, next) as routing.Change;
        const changed = routing.applyListingChange(former, change, digest) ?? [];
        chai.expect(new Set(changed)).to.deep.equal(new Set(next));
        chai.expect(routing.applyListingChange(former.slice(1), change, digest)).to.equal(undefined);
        chai.expect(routing.applyListingChange(former, change, "another")).to.equal(undefined);
        for (const patch of ["{", "7", `{"changed":7}`, `{"changed":[],"removed":["e-0"]}`]) {
            chai.expect(routing.applyListingChange(former, { ...change, patch }, digest), patch).to.equal(undefined);
        }
    });

    it("are not told when they are long, or nothing but registrations have been renewed", () => {
        chai.expect(routing.diffListings([], former)).to.equal(undefined);
        const renewed = former.map((each) => ({ ...each, registrationNumber: 7 }));
        const change = routing.diffListings(former, renewed) as routing.Change;
        chai.expect(JSON.parse(change.patch)).to.deep.equal({ changed: [], removed: [] });
    });

    it("give the configuration that the reader has, or none", () => {
        const names = Array.from({ length: 50 }, (_, index) => `shop-${index}.example`);
        const before = configuration(7, names);
        for (
            const after of [
                configuration(9, [...names.slice(0, 20), "other.example", ...names.slice(21)]),
                configuration(9, ["first.example", ...names]),
                configuration(9, names.slice(0, -1)),
                configuration(
                    9,
                    names.flatMap((name, index) => index % 9 === 0 ? [`new-${name}`] : index % 7 === 0 ? [] : [name]),
                ),
                configuration(9, [...names].reverse()),
                configuration(9, []),
                { ...configuration(9, names), limits: { ...before.limits, bodyBytes: 2 } },
                { ...configuration(9, names), workspaces: [] },
            ]
        ) {
            const digest = routing.digestConfiguration(after);
            const change = routing.diffConfigurations(before, after) as routing.Change;
            // As it arrives in a datagram.
            const told = JSON.parse(JSON.stringify(change)) as routing.Change;
            const rebuilt = routing.applyConfigurationChange(before, told, digest);
            chai.expect(JSON.stringify(rebuilt)).to.equal(JSON.stringify(after));
            chai.expect(routing.applyConfigurationChange(configuration(8, names), told, digest)).to.equal(undefined);
            chai.expect(routing.applyConfigurationChange(before, told, "another")).to.equal(undefined);
        }
        chai.expect(routing.diffConfigurations(configuration(1, []), before)).to.equal(undefined);
    });
});
