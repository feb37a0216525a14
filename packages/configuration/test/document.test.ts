import * as chai from "chai";
import * as configuration from "../src/index.js";

const WORKSPACES = 2_500;
const KEYS_PER_WORKSPACE = 4;
/** Default limits of the key-value service: the size of a value and the operations of a transaction. */
const VALUE_LIMIT_BYTES = 1024 * 1024;
const MAX_TRANSACTION_OPERATIONS = 128;

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

describe("a stored configuration of the design size", () => {
    const original = makeConfiguration(fleetText());
    const stored = configuration.splitConfiguration(original, "first");

    /** Counts the parts of a changed configuration that were not stored before. */
    function countNewParts(changed: configuration.Configuration): number {
        const parts = configuration.splitConfiguration(changed, "second", stored.head).parts;
        return [...parts.keys()].filter((hash) => !stored.parts.has(hash)).length;
    }

    it("fits the value size and the transaction limit of the key-value service", () => {
        const largest = Math.max(...[...stored.parts.values()].map((part) => Buffer.byteLength(part)));
        chai.expect(largest).to.be.lessThan(VALUE_LIMIT_BYTES);
        chai.expect(Buffer.byteLength(configuration.serializeHead(stored.head))).to.be.lessThan(VALUE_LIMIT_BYTES);
        chai.expect(stored.parts.size + 1).to.be.lessThan(MAX_TRANSACTION_OPERATIONS);
    });

    it("is unchanged after it is split and joined", () => {
        const head = configuration.parseHead(configuration.serializeHead(stored.head));
        const joined = head && configuration.joinConfiguration({ head, parts: stored.parts });
        chai.expect(joined?.text).to.equal(original.text);
        chai.expect(joined?.fleet).to.deep.equal(original.fleet);
        chai.expect(new Set(joined?.keys.map((key) => key.hash))).to.deep.equal(
            new Set(original.keys.map((key) => key.hash)),
        );
    });

    it("changes one part when a key is withdrawn, and few when a rate changes", () => {
        chai.expect(countNewParts({ ...original, revision: 2, keys: original.keys.slice(1) })).to.equal(1);
        const text = original.text.replace("tokensPerSecond: 1800,", "tokensPerSecond: 1801,");
        chai.expect(countNewParts({ ...original, revision: 2, text })).to.be.within(2, 4);
    });

    it("lists obsolete parts and the latest writes in its head", () => {
        const changed = { ...original, revision: 2, keys: original.keys.slice(1) };
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
