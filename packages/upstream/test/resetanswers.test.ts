import * as chai from "chai";
import * as net from "node:net";
import * as engine from "../src/engine.js";
import * as service from "../src/service.js";

// Guards against a part of an answer without framing that counts as the whole one.
describe("Answers of plain services without framing", () => {
    let server: net.Server;
    let address: string;

    before(async () => {
        server = net.createServer((socket) =>
            socket.once("data", () => {
                // In one turn, so that both are found together.
                socket.write("HTTP/1.1 200 OK\r\n\r\npart");
                socket.resetAndDestroy();
            })
        );
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        address = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    });
    after(() => void server.close());

    it("are not whole if their connection is reset", async () => {
        const call = { address, method: "POST", path: "/", headers: {}, body: Buffer.from("b") };
        const outcome = await service.callService({ ...call, timeoutMs: 2_000, maxResponseBytes: 1_000 });
        chai.expect(outcome.result).to.equal(engine.CallResult.Broken);
    });
});
