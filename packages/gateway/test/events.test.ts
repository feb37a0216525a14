import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as events from "../src/model/events.js";

describe("EventSplitter", () => {
    const stream = "id: 1\ndata: a\n\ndata: no id\n\nid: 22\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

    it("returns complete events however the bytes are split", () => {
        const cuts = fastCheck.array(fastCheck.integer({ min: 1, max: 9 }), { minLength: 80, maxLength: 80 });
        fastCheck.assert(fastCheck.property(cuts, (sizes) => {
            const splitter = new events.EventSplitter();
            let at = 0;
            let returned = "";
            for (const size of sizes) {
                const completeEvents = splitter.push(Buffer.from(stream.slice(at, at + size)))?.toString() ?? "";
                chai.expect(completeEvents === "" || /\n\r?\n$/.test(completeEvents)).to.equal(true);
                returned += completeEvents;
                at += size;
            }
            chai.expect(returned + splitter.remainder.toString()).to.equal(stream);
            chai.expect(splitter.lastEventId).to.equal("3");
        }));
    });

    it("knows the id of the last complete event and ignores that of an incomplete one", () => {
        const splitter = new events.EventSplitter();
        splitter.push(Buffer.from("id: 7\ndata: a\n\nid: 8\nda"));
        chai.expect(splitter.lastEventId).to.equal("7");
        chai.expect(splitter.remainder.toString()).to.equal("id: 8\nda");
    });
});

describe("Ids of events", () => {
    /** The ids that are read from blocks, whatever pieces they come in. */
    const idsOf = (text: string, pieceBytes = Infinity) => {
        const ids: (number | undefined)[] = [];
        const splitter = new events.EventSplitter({
            acceptsEvent: (id) => ids.push(id) > 0,
            passesComments: () => true,
        });
        for (let start = 0; start < text.length; start += pieceBytes) {
            splitter.push(Buffer.from(text.slice(start, start + pieceBytes)));
        }
        return ids;
    };
    const lineEnds = ["\n", "\r\n", "\r"];

    it("are read as numbers, by the rules of event streams", () => {
        const blocks: readonly (readonly [string, number | undefined])[] = [
            ["id: 1\ndata: a", 1],
            ["id:2", 2],
            ["data: a\nid:  30 ", 30],
            ["version: 3\nid: 4\ndata: id: 9", 4],
            ["id: 5\nid: 6", 6],
            [": id: 1\nid: 7", 7],
            ["id: 0", 0],
            ["id: 999999999999999", 999_999_999_999_999],
            ["data: id: 1", undefined],
            [" id: 1", undefined],
            ["ids: 1\nidea", undefined],
            ["id", NaN],
            ["id:", NaN],
            ["id: x", NaN],
            ["id: 01", NaN],
            ["id: 1 2", NaN],
            ["id: -1", NaN],
            ["id: 1.0", NaN],
            ["id: 9999999999999999", NaN],
        ];
        for (const lineEnd of lineEnds) {
            const text = blocks.map(([block]) => `${block}\n\n`).join("").replaceAll("\n", lineEnd);
            for (const pieceBytes of [1, 2, 7, Infinity]) {
                chai.expect(idsOf(text, pieceBytes)).to.deep.equal(blocks.map(([, id]) => id));
            }
        }
    });

    it("are not looked for in comments and empty lines, which are no events", () => {
        for (const lineEnd of lineEnds) {
            const text = ["", ": ping", ":id: 3", "", "", "id: 4", "", ":", "", ""].join(lineEnd);
            chai.expect(idsOf(text), JSON.stringify(lineEnd)).to.deep.equal([4]);
        }
    });

    it("end a stream before the first event that is not accepted", () => {
        const text = "id: 1\n\n: ping\n\nid: 2\n\nid: 9\n\nid: 3\n\n";
        for (let pieceBytes = 1; pieceBytes <= text.length; pieceBytes++) {
            const splitter = new events.EventSplitter({
                acceptsEvent: (id) => id !== 9,
                passesComments: () => true,
            });
            let returned = "";
            for (let start = 0; start < text.length; start += pieceBytes) {
                returned += splitter.push(Buffer.from(text.slice(start, start + pieceBytes)))?.toString() ?? "";
            }
            chai.expect(returned).to.equal("id: 1\n\n: ping\n\nid: 2\n\n");
            chai.expect(splitter.isRejected).to.equal(true);
        }
    });

    it("are read from any line ends, mixed and in any pieces, and all bytes are returned", () => {
        const lineEnd = fastCheck.constantFrom(...lineEnds);
        const block = fastCheck.tuple(fastCheck.integer({ min: 1, max: 99 }), lineEnd, fastCheck.boolean());
        fastCheck.assert(fastCheck.property(
            fastCheck.array(block, { maxLength: 8 }),
            fastCheck.array(fastCheck.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 20 }),
            (blocks, sizes) => {
                const text = blocks.map(([id, end, hasComment]) =>
                    `${hasComment ? `: ping${end}${end}` : ""}id: ${id}${end}data: ${id}${end}${end}`
                ).join("");
                const ids: (number | undefined)[] = [];
                const splitter = new events.EventSplitter({
                    acceptsEvent: (id) => ids.push(id) > 0,
                    passesComments: () => true,
                });
                let returned = "";
                for (let at = 0, turn = 0; at < text.length; turn++) {
                    const size = sizes[turn % sizes.length] as number;
                    returned += splitter.push(Buffer.from(text.slice(at, at + size)))?.toString() ?? "";
                    at += size;
                }
                // An LF that may follow the last CR is not awaited once the text ends.
                chai.expect(returned + splitter.remainder.toString()).to.equal(text);
                chai.expect(ids).to.deep.equal(blocks.map(([id]) => id));
            },
        ));
    });
});
