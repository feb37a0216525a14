import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as bodies from "../src/index.js";

const LIMIT_BYTES = 1_000;

// Plays a crowd that sends more than it reads, beside peers that hold little.
describe("HeldMemory", () => {
    it("closes the holder of most first, and none that holds little", () => {
        const memory = new bodies.HeldMemory(LIMIT_BYTES);
        const evicted: string[] = [];
        const open = (name: string) => memory.open(() => evicted.push(name));
        const small = open("small");
        const large = open("large");
        const larger = open("larger");
        chai.expect([small.tryTake(50), large.tryTake(300), larger.tryTake(500)]).to.deep.equal([true, true, true]);
        chai.expect(small.tryTake(200)).to.equal(true);
        chai.expect(evicted).to.deep.equal(["larger"]);
        chai.expect(larger.tryTake(1)).to.equal(false);
        chai.expect(large.tryTake(600)).to.equal(false);
        chai.expect(evicted).to.deep.equal(["larger"]);
        chai.expect(memory.heldBytes).to.equal(550);
    });

    it("counts answers that are not read, and closes their holder if it holds most", () => {
        const memory = new bodies.HeldMemory(LIMIT_BYTES);
        const evicted: string[] = [];
        const small = memory.open(() => evicted.push("small"));
        const reader = memory.open(() => evicted.push("reader"));
        small.tryTake(100);
        reader.setWaiting(600);
        reader.setWaiting(200);
        chai.expect(memory.heldBytes).to.equal(300);
        reader.setWaiting(2_000);
        chai.expect(evicted).to.deep.equal(["reader"]);
        chai.expect(memory.heldBytes).to.equal(100);
    });

    it("never holds more than its limit, and nothing once all are closed", () => {
        const step = fastCheck.record({
            holder: fastCheck.nat(9),
            kind: fastCheck.constantFrom("take", "release", "waiting", "close"),
            bytes: fastCheck.nat(700),
        });
        fastCheck.assert(fastCheck.property(fastCheck.array(step, { maxLength: 200 }), (steps) => {
            const memory = new bodies.HeldMemory(LIMIT_BYTES);
            const holders = Array.from({ length: 10 }, () => memory.open(() => undefined));
            for (const { holder: index, kind, bytes } of steps) {
                const holder = holders[index] as bodies.Holder;
                if (kind === "take") {
                    holder.tryTake(bytes);
                }
                else if (kind === "release") {
                    holder.release(bytes);
                }
                else if (kind === "waiting") {
                    holder.setWaiting(bytes);
                }
                else {
                    holder.close();
                }
                chai.expect(memory.heldBytes).to.be.within(0, LIMIT_BYTES);
            }
            holders.forEach((holder) => holder.close());
            chai.expect(memory.heldBytes).to.equal(0);
        }));
    });
});
