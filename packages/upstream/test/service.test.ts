import * as chai from "chai";
import * as net from "node:net";
import * as engine from "../src/engine.js";
import * as service from "../src/service.js";

/** Calls a server that sends the text and ends the connection, or sends nothing if the text is undefined. */
async function callServer(
    text: string | undefined,
): Promise<{ readonly result: string; readonly requestText: string; }> {
    let requestText = "";
    const sockets: net.Socket[] = [];
    const server = net.createServer((socket) => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", (chunk) => {
            requestText = chunk.toString();
            if (text !== undefined) {
                socket.end(text);
            }
        });
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const result = await callPort((server.address() as net.AddressInfo).port);
    sockets.forEach((socket) => socket.destroy());
    server.close();
    return { result, requestText };
}

async function callPort(port: number): Promise<string> {
    const outcome = await service.callService({
        address: `http://127.0.0.1:${port}`,
        method: "GET",
        path: "/a/./b?c=%20",
        headers: {},
        body: Buffer.alloc(0),
        timeoutMs: 300,
        maxResponseBytes: 100,
    });
    return outcome.result;
}

describe("A call to a plain service", () => {
    it("may have run if its response is invalid, incomplete, too long or missing", async () => {
        const headers = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
        const long = `HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n${"x".repeat(200)}`;
        for (const text of ["garbage\r\n\r\n", `${headers}half`, long, "", undefined]) {
            chai.expect((await callServer(text)).result, String(text)).to.equal(engine.CallResult.Broken);
        }
    });

    it("did not run if the service says so or cannot be reached", async () => {
        const notRun = "HTTP/1.1 503 No\r\nx-not-run: busy\r\ncontent-length: 0\r\n\r\n";
        chai.expect((await callServer(notRun)).result).to.equal(engine.CallResult.Refused);
        const unavailable = "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n";
        chai.expect((await callServer(unavailable)).result).to.equal(engine.CallResult.Done);
        chai.expect(await callPort(1)).to.equal(engine.CallResult.Unreachable);
    });

    it("keeps the requested path unchanged", async () => {
        const { requestText } = await callServer("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        chai.expect(requestText.split("\r\n")[0]).to.equal("GET /a/./b?c=%20 HTTP/1.1");
    });
});
