import * as chai from "chai";
import * as configuration from "../src/index.js";

const WORKSPACES = 2_500;
const KEYS_PER_WORKSPACE = 4;
/** What the key-value service takes as one value, and what it carries out in one transaction by default. */
const VALUE_LIMIT_BYTES = 1024 * 1024;
const TRANSACTION_LIMIT = 128;

function fleetText(): string {
    const workspaces = Array.from(
        { length: WORKSPACES },
        (_, index) => `      workspace-${index}: { weight: 1, tokensPerSecond: ${600 + index}, burstTokens: 48000 }`,
    );
    return [
        "fleet: large",
        "region: test",
        "availabilityZones: [zone-a]",
        "zoneDelay: 0.5ms",
        "callerDelay: 1ms",
        "profiles:",
        "  reading:",
        "    priority: 2",
        "    firstTokenTarget: 2s",
        "    betweenTokensTarget: 60ms",
        "    deadline: 20s",
        "    workspaces:",
        ...workspaces,
        "pools: {}",
        "",
    ].join("\n");
}

function makeConfiguration(text: string): configuration.Configuration {
    const checked = configuration.parseFleet("fleet", text);
    if (!checked.valid) {
        throw new Error(JSON.stringify(checked.problems.slice(0, 3)));
    }
    const keys = Array.from({ length: WORKSPACES * KEYS_PER_WORKSPACE }, (_, index) => ({
        id: `key-${index}`,
        workspace: `workspace-${index % WORKSPACES}`,
        hash: configuration.hashKey(`key-${index}`),
    }));
    return { revision: 1, fleet: checked.value, text, keys };
}

describe("a configuration of the size to design for, as it is kept", () => {
    const made = makeConfiguration(fleetText());
    const stored = configuration.splitConfiguration(made, "first");

    /** How many parts of a changed configuration are new. */
    function newParts(changed: configuration.Configuration): number {
        const parts = configuration.splitConfiguration(changed, "second", stored.head).parts;
        return [...parts.keys()].filter((hash) => !stored.parts.has(hash)).length;
    }

    it("fits the service's values and one transaction", () => {
        const largest = Math.max(...[...stored.parts.values()].map((part) => Buffer.byteLength(part)));
        chai.expect(largest).to.be.lessThan(VALUE_LIMIT_BYTES);
        chai.expect(Buffer.byteLength(configuration.writeHead(stored.head))).to.be.lessThan(VALUE_LIMIT_BYTES);
        chai.expect(stored.parts.size + 1).to.be.lessThan(TRANSACTION_LIMIT);
    });

    it("is the same when it is joined again", () => {
        const head = configuration.readHead(configuration.writeHead(stored.head));
        const joined = head && configuration.joinConfiguration({ head, parts: stored.parts });
        chai.expect(joined?.text).to.equal(made.text);
        chai.expect(joined?.fleet).to.deep.equal(made.fleet);
        chai.expect(new Set(joined?.keys.map((key) => key.hash))).to.deep.equal(
            new Set(made.keys.map((key) => key.hash)),
        );
    });

    it("changes in one part when a key is withdrawn, and in few when a rate is", () => {
        chai.expect(newParts({ ...made, revision: 2, keys: made.keys.slice(1) })).to.equal(1);
        const text = made.text.replace("tokensPerSecond: 1800,", "tokensPerSecond: 1801,");
        chai.expect(newParts({ ...made, revision: 2, text })).to.be.within(2, 4);
    });

    it("names what became obsolete and the latest writes", () => {
        const changed = { ...made, revision: 2, keys: made.keys.slice(1) };
        const { head } = configuration.splitConfiguration(changed, "second", stored.head);
        chai.expect(head.obsolete).to.have.length(1);
        chai.expect(head.writes).to.deep.equal([
            { revision: 2, writeId: "second" },
            { revision: 1, writeId: "first" },
        ]);
    });

    it("cannot be joined without all of its parts", () => {
        const parts = new Map([...stored.parts].slice(1));
        chai.expect(configuration.joinConfiguration({ head: stored.head, parts })).to.equal(undefined);
    });
});
