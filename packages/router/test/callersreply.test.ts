import * as chai from "chai";
import * as http from "node:http";
import * as net from "node:net";
import * as openai from "../src/openai.js";
import * as reply from "../src/reply.js";

const TOKENS = 2_000;
const TOKEN_TEXT = "x".repeat(32 * 1024);
/** More than the buffers of a connection hold, and much less than all tokens. */
const MOST_TOKENS_AHEAD = 1_000;

describe("a streamed answer", () => {
    it("waits for a caller that does not read, and goes on when it reads", async () => {
        let sent = 0;
        const head = { id: "a", kind: openai.CompletionKind.Chat, model: "m", created: 1 };
        const server = http.createServer((_request, response) => {
            const answer = new reply.StreamedAnswer(response, head, false);
            const sendAll = async () => {
                for (; sent < TOKENS; sent++) {
                    await answer.token(TOKEN_TEXT);
                }
                answer.finish("length", { promptTokens: 1, outputTokens: TOKENS });
            };
            void sendAll();
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let former = -1;
        while (former !== sent || sent === 0) {
            former = sent;
            await new Promise((resolve) => setTimeout(resolve, 200));
        }
        chai.expect(sent).to.be.lessThan(MOST_TOKENS_AHEAD);
        let last = "";
        socket.on("data", (piece) => last = (last + piece.toString()).slice(-100));
        await new Promise((resolve) => socket.once("close", resolve));
        server.close();
        chai.expect(sent).to.equal(TOKENS);
        chai.expect(last).to.contain("data: [DONE]");
    });
});
