import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as routing from "../src/index.js";

const ZONES = ["a", "b", "c"];

function listing(era: number, revision: number, zones: Record<string, number> = {}): routing.EvacuationListing {
    return { era, revision, zones: Object.entries(zones).map(([zone, at]) => ({ zone, revision: at })) };
}

/** The names of the zones to which nothing is sent. */
function emptied(known: routing.Evacuations, now = 0): string[] {
    return routing.emptiedZones(known, now).map(({ zone }) => zone).sort();
}

describe("Evacuations", () => {
    it("end where the newest revision ends, whatever the order in which 24 hosts hear of them", () => {
        const anyChange = fastCheck.record({ zone: fastCheck.constantFrom(...ZONES), emptied: fastCheck.boolean() });
        const anyChanges = fastCheck.array(anyChange, { minLength: 1, maxLength: 12 });
        const anyOrders = fastCheck.array(fastCheck.array(fastCheck.nat(11)), { minLength: 24, maxLength: 24 });
        fastCheck.assert(fastCheck.property(anyChanges, anyOrders, (changes, orders) => {
            let current = listing(1, 1);
            const written = [current];
            changes.forEach((change, index) => {
                const revision = index + 2;
                current = routing.changeListing(current, [{ ...change, revision }], revision);
                written.push(current);
            });
            for (const order of orders) {
                let known = routing.noEvacuations;
                for (const index of [...order, changes.length]) {
                    known = routing.adoptListing(known, written[Math.min(index, changes.length)] ?? current, 0);
                }
                chai.expect(emptied(known)).to.deep.equal(current.zones.map(({ zone }) => zone).sort());
            }
        }));
    });

    it("pass over changes that a read after the watch began has shown already", () => {
        const read = listing(1, 30, { a: 25 });
        const late = [
            { zone: "a", revision: 20, emptied: false },
            { zone: "b", revision: 28, emptied: true },
            { zone: "c", revision: 31, emptied: true },
        ];
        chai.expect(routing.changeListing(read, late, 32)).to.deep.equal(listing(1, 32, { a: 25, c: 31 }));
        chai.expect(routing.changeListing(read, late, 29)).to.equal(read);
    });

    it("never come back, nor end, by an older revision or an earlier era", () => {
        const known = routing.adoptListing(routing.noEvacuations, listing(2, 10, { a: 9 }), 0);
        for (const older of [listing(2, 9), listing(2, 10), listing(1, 900)]) {
            chai.expect(routing.adoptListing(known, older, 0)).to.equal(known);
        }
        const takenBack = routing.adoptListing(known, listing(2, 11), 0);
        chai.expect(emptied(routing.adoptListing(takenBack, listing(2, 10, { a: 9 }), 0))).to.deep.equal([]);
    });

    it("count for ten seconds after the store came back from a copy without them", () => {
        const known = routing.adoptListing(routing.noEvacuations, listing(1, 90, { a: 80, b: 85 }), 0);
        let restored = routing.adoptListing(known, listing(2, 40, { b: 30 }), 1_000);
        chai.expect(emptied(restored, 1_000)).to.deep.equal(["a", "b"]);
        restored = routing.adoptListing(restored, listing(2, 41, { b: 30 }), 5_000);
        chai.expect(emptied(restored, 10_999)).to.deep.equal(["a", "b"]);
        chai.expect(emptied(restored, 11_000)).to.deep.equal(["b"]);
        chai.expect(emptied(routing.adoptListing(restored, listing(2, 42, { b: 30 }), 11_000), 0)).to.deep.equal(["b"]);
    });

    it("are the store's again once operators have written them again after a copy", () => {
        const known = routing.adoptListing(routing.noEvacuations, listing(1, 90, { a: 80 }), 0);
        let restored = routing.adoptListing(known, listing(2, 40), 0);
        restored = routing.adoptListing(restored, listing(2, 41, { a: 41 }), 500);
        chai.expect(emptied(restored, 1e9)).to.deep.equal(["a"]);
        chai.expect(emptied(routing.adoptListing(restored, listing(2, 42), 600), 600)).to.deep.equal([]);
    });
});
