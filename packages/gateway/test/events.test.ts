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
