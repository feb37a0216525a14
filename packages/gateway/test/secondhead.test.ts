import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as secondheads from "../src/upstream/secondhead.js";

const HEAD = "HTTP/1.1 200 OK\r\nServer: s\r\nRequest-Id: r-2\r\nContent-Length: 4\r\n\r\n";
const FOREIGN_HEAD = HEAD.replace("Request-Id", "Other-Id");
const BEHIND_ID = HEAD.indexOf("Content-Length");

/** Pushes a body in pieces that begin at the given positions; returns what the scanner says. */
function scan(body: string, cuts: readonly number[]): { readonly found: boolean; readonly endsWithinHead: boolean; } {
    const scanner = new secondheads.SecondHeadScanner("request-id");
    const positions = [0, ...new Set(cuts.map((cut) => cut % body.length))].sort((one, other) => one - other);
    const pieces = positions.map((position, index) =>
        Buffer.from(body.slice(position, positions[index + 1]), "latin1")
    );
    return { found: pieces.some((piece) => scanner.push(piece)), endsWithinHead: scanner.endsWithinHead };
}

// Guards against bodies of which another answer's head becomes a part.
describe("Heads within bodies", () => {
    const cuts = fastCheck.array(fastCheck.nat(400), { maxLength: 12 });
    const text = fastCheck.string({ maxLength: 60, unit: "binary-ascii" });

    it("are found wherever the body is split", () => {
        fastCheck.assert(fastCheck.property(text, text, cuts, (before, after, at) => {
            chai.expect(scan(`${before}HTTP/1.${HEAD}${after}`, at).found).to.equal(true);
        }));
    });

    it("are found byte by byte", () => {
        const body = `body${HEAD}`;
        chai.expect(scan(body, Array.from(body, (_, index) => index)).found).to.equal(true);
    });

    it("are none without the header that names the id, or with other lines before it", () => {
        fastCheck.assert(fastCheck.property(text, text, cuts, (before, after, at) => {
            chai.expect(scan(`${before}${FOREIGN_HEAD}${after}`, at).found).to.equal(false);
            chai.expect(scan(`${before}${HEAD.replace("Server: s", "no header")}${after}`, at).found).to.equal(false);
        }));
    });

    it("are suspected where a body ends within them", () => {
        for (let length = HEAD.indexOf("\n") + 1; length < BEHIND_ID; length++) {
            const { found, endsWithinHead } = scan(`body${HEAD.slice(0, length)}`, [length]);
            chai.expect(found || endsWithinHead, HEAD.slice(0, length)).to.equal(true);
        }
        chai.expect(scan("the line HTTP/1.1 200 OK", [3]).endsWithinHead).to.equal(false);
        chai.expect(scan(`${FOREIGN_HEAD}body`, [3]).endsWithinHead).to.equal(false);
    });
});
