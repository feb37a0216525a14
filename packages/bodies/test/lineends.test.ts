import * as chai from "chai";
import * as bodies from "../src/index.js";

const HEAD = "HTTP/1.1 200 OK\r\na: b\r\n\r\n";
const INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";

/** Whether a connection's bytes are malformed, the same whole and in single bytes. */
function isMalformed(text: string): boolean {
    const results = [[text], [...text]].map((pieces) => {
        const checker = new bodies.HeadChecker();
        pieces.forEach((piece) => checker.push(Buffer.from(piece, "latin1")));
        return checker.problem !== undefined;
    });
    chai.expect(results[0]).to.equal(results[1]);
    return results[0] as boolean;
}

// Guards against bytes after a cut head that are taken for its body.
describe("Line ends of heads", () => {
    it("are malformed if a CR stands alone, in an interim response too", () => {
        for (const text of [`${HEAD.slice(0, -1)}HTTP/1.1 500 Failed\r\n\r\n`, "HTTP/1.1 200 OK\ra: b\r\n\r\n"]) {
            chai.expect(isMalformed(text), text).to.equal(true);
            chai.expect(isMalformed(INTERIM + text), text).to.equal(true);
        }
        chai.expect(isMalformed(`${INTERIM.slice(0, -1)}${HEAD}`)).to.equal(true);
    });

    it("are sound up to any byte of a sound head, and bodies are passed over", () => {
        for (const text of [HEAD, INTERIM + HEAD, `\r\n${HEAD}`, HEAD.replaceAll("\r\n", "\n")]) {
            for (let length = 0; length <= text.length; length++) {
                chai.expect(isMalformed(text.slice(0, length)), text.slice(0, length)).to.equal(false);
            }
            chai.expect(isMalformed(`${text}body\rbody`)).to.equal(false);
        }
    });
});
