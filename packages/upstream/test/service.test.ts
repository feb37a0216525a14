import * as chai from "chai";
import * as net from "node:net";
import * as engine from "../src/engine.js";
import * as service from "../src/service.js";

/** Calls a server that answers with the text and then ends the connection, or stays silent. */
async function callServer(text: string | undefined): Promise<{ readonly outcome: string; readonly seen: string; }> {
    let seen = "";
    const sockets: net.Socket[] = [];
    const server = net.createServer((socket) => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", (piece) => {
            seen = piece.toString();
            if (text !== undefined) {
                socket.end(text);
            }
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const outcome = await callAt((server.address() as net.AddressInfo).port);
    sockets.forEach((socket) => socket.destroy());
    server.close();
    return { outcome, seen };
}

async function callAt(port: number): Promise<string> {
    const outcome = await service.callService({
        address: `http://127.0.0.1:${port}`,
        method: "GET",
        path: "/a/./b?c=%20",
        headers: {},
        body: Buffer.alloc(0),
        timeoutMs: 300,
        answerLimit: 100,
    });
    return outcome.result;
}

describe("a call to a plain service", () => {
    it("may have run when its answer is garbage, cut off, too long or missing", async () => {
        const head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
        const long = `HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n${"x".repeat(200)}`;
        for (const text of ["garbage\r\n\r\n", `${head}half`, long, "", undefined]) {
            chai.expect((await callServer(text)).outcome, String(text)).to.equal(engine.CallResult.Broken);
        }
    });

    it("did not run when the service says so, or can't be reached", async () => {
        const refused = "HTTP/1.1 503 No\r\nx-not-run: busy\r\ncontent-length: 0\r\n\r\n";
        chai.expect((await callServer(refused)).outcome).to.equal(engine.CallResult.Refused);
        const plain = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
        chai.expect((await callServer(plain)).outcome).to.equal(engine.CallResult.Done);
        chai.expect(await callAt(1)).to.equal(engine.CallResult.Unreachable);
    });

    it("goes to the very path that was asked for", async () => {
        const { seen } = await callServer("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        chai.expect(seen.split("\r\n")[0]).to.equal("GET /a/./b?c=%20 HTTP/1.1");
    });
});
