import * as chai from "chai";
import * as http from "node:http";
import * as net from "node:net";
import * as openai from "../../src/callers/openai.js";
import * as reply from "../../src/callers/reply.js";

const TOKEN_COUNT = 2_000;
const TOKEN_TEXT = "x".repeat(32 * 1024);
/** More tokens than the buffers of a connection hold, and far fewer than TOKEN_COUNT. */
const MAX_BUFFERED_TOKENS = 1_000;

describe("a streamed answer", () => {
    it("pauses while the caller does not read, and resumes when it does", async () => {
        let sent = 0;
        const metadata = { id: "a", kind: openai.CompletionKind.Chat, model: "m", created: 1 };
        const server = http.createServer((_request, response) => {
            const answer = new reply.StreamedAnswer(response, metadata, false);
            const sendAll = async () => {
                for (; sent < TOKEN_COUNT; sent++) {
                    await answer.writeToken(TOKEN_TEXT);
                }
                answer.finish("length", { promptTokens: 1, outputTokens: TOKEN_COUNT });
            };
            void sendAll();
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let previous = -1;
        while (previous !== sent || sent === 0) {
            previous = sent;
            await new Promise((resolve) => setTimeout(resolve, 200));
        }
        chai.expect(sent).to.be.lessThan(MAX_BUFFERED_TOKENS);
        let last = "";
        socket.on("data", (piece) => last = (last + piece.toString()).slice(-100));
        await new Promise((resolve) => socket.once("close", resolve));
        server.close();
        chai.expect(sent).to.equal(TOKEN_COUNT);
        chai.expect(last).to.contain("data: [DONE]");
    });
});
