import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as bodies from "../src/index.js";

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

const MEGABYTE = 1_048_576;
const ONE_BYTE = Buffer.from("x");

function addUntilRefused(collector: bodies.BodyCollector, piece: Buffer): { count: number; result: bodies.AddResult; } {
    for (let count = 0;; count++) {
        const result = collector.add(piece);
        if (result !== bodies.AddResult.Added) {
            return { count, result };
        }
    }
}

// Guards against bodies in pieces of a byte that fill the heap (review case 5).
describe("BodyCollector", () => {
    it("bounds the bytes, the pieces and the memory of all bodies together", () => {
        const memory = new bodies.MemoryBudget(4 * MEGABYTE);
        const few = addUntilRefused(new bodies.BodyCollector(MEGABYTE, memory), Buffer.alloc(65_536));
        chai.expect(few).to.deep.equal({ count: 16, result: bodies.AddResult.TooLong });
        const small = new bodies.BodyCollector(MEGABYTE, memory);
        chai.expect(addUntilRefused(small, ONE_BYTE)).to.deep.equal({ count: 4_096, result: bodies.AddResult.TooLong });
        const third = addUntilRefused(new bodies.BodyCollector(16 * MEGABYTE, memory), Buffer.alloc(65_536));
        chai.expect(third.result).to.equal(bodies.AddResult.NoMemory);
        small.discard();
        small.discard();
        chai.expect(new bodies.BodyCollector(MEGABYTE, memory).add(Buffer.alloc(65_536)))
            .to.equal(bodies.AddResult.Added);
    });

    it("keeps no large buffer alive for a small piece of it", () => {
        const collector = new bodies.BodyCollector(MEGABYTE, new bodies.MemoryBudget(MEGABYTE));
        const before = process.memoryUsage().arrayBuffers;
        for (let count = 0; count < 1_000; count++) {
            collector.add(Buffer.allocUnsafeSlow(65_536).subarray(0, 1));
        }
        collectGarbage();
        collectGarbage();
        chai.expect(process.memoryUsage().arrayBuffers - before).to.be.below(MEGABYTE);
        chai.expect(collector.finish().length).to.equal(1_000);
    });

    it("returns the body and gives its memory back", () => {
        const memory = new bodies.MemoryBudget(1_000);
        for (let round = 0; round < 10; round++) {
            const collector = new bodies.BodyCollector(100, memory);
            chai.expect(collector.add(Buffer.from("ab"))).to.equal(bodies.AddResult.Added);
            chai.expect(collector.add(Buffer.from("c"))).to.equal(bodies.AddResult.Added);
            chai.expect(collector.finish().toString()).to.equal("abc");
        }
    });
});

describe("IncompleteMessage", () => {
    it("holds what was appended since it was replaced", () => {
        fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.string()), fastCheck.string(), (parts, start) => {
            const message = new bodies.IncompleteMessage();
            message.append(Buffer.from("gone"));
            message.replace(Buffer.from(start));
            parts.forEach((part) => message.append(Buffer.from(part)));
            chai.expect(message.bytes.toString()).to.equal(start + parts.join(""));
        }));
    });

    it("takes a million pieces of a byte in bounded time", () => {
        const message = new bodies.IncompleteMessage();
        const startedAt = performance.now();
        for (let count = 0; count < MEGABYTE; count++) {
            message.append(ONE_BYTE);
        }
        chai.expect(message.bytes.length).to.equal(MEGABYTE);
        chai.expect(message.pieces).to.equal(MEGABYTE);
        chai.expect(performance.now() - startedAt).to.be.below(5_000);
    });
});
