import * as chai from "chai";
import * as upstream from "../src/index.js";

const KEY = "cl-Zm9vYmFyYmF6cXV4MTIzNDU2";

describe("A sanitized request", () => {
    it("contains the key in no header, whatever the header's name and the key's encoding", () => {
        const sanitized = upstream.cleanHeaders({
            "authorization": `Bearer ${KEY}`,
            "x-api-key": KEY,
            "x-anything": `token=${KEY}`,
            "x-encoded": encodeURIComponent(`a ${KEY}`),
            "x-basic": Buffer.from(`user:${KEY}`).toString("base64"),
            "cookie": "session=1",
            "accept": "application/json",
            "connection": "x-hop",
            "x-hop": "1",
        }, KEY);
        chai.expect(sanitized).to.deep.equal({ accept: "application/json" });
    });

    it("does not contain the key in its query", () => {
        const percentEncoded = [...KEY].map((character) => `%${character.charCodeAt(0).toString(16)}`).join("");
        chai.expect(upstream.cleanPath(`/stock?a=1&key=${KEY}&k=${percentEncoded}&b=2`, KEY)).to.equal(
            "/stock?a=1&b=2",
        );
        chai.expect(upstream.cleanPath(`/stock?key=${KEY}`, KEY)).to.equal("/stock");
    });
});
