import * as bodies from "@citronlead/bodies";
import * as lifecycle from "@citronlead/lifecycle";
import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as http from "node:http";
import * as net from "node:net";
import * as connections from "../src/connections.js";
import * as garbage from "../src/garbage.js";

const MEGABYTE = 1_048_576;
/** Bodies that hold what ends a head, or looks like a request. */
const BODIES = ["", "{}", "\r\n\r\n", "\n\n\n", "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(5_000)];

// Guards against requests that are cut or run together as the bytes of a connection are parsed piece by piece.
describe("The connections of a server", () => {
    const scope = new lifecycle.Scope("test");
    const closed: string[] = [];
    let port = 0;

    before(async () => {
        const server = http.createServer({ requireHostHeader: false });
        const serve = (request: http.IncomingMessage, response: http.ServerResponse) => {
            const pieces: Buffer[] = [];
            request.on("data", (piece: Buffer) => pieces.push(piece));
            request.on(
                "end",
                () => response.end(`${request.method} ${request.url} ${Buffer.concat(pieces).toString()}|`),
            );
        };
        const onClosed = (reason: string) => void closed.push(reason);
        const limits = {
            maxConnections: 4,
            memory: new bodies.HeldMemory(MEGABYTE),
            bodyGarbage: new garbage.BodyGarbage(MEGABYTE),
            times: () => ({ headMs: 600, idleMs: 60_000 }),
        };
        const listener = { serve, onDropped: () => undefined, onClosed };
        new connections.CallerConnections(server, lifecycle.monotonicClock, listener, limits, scope);
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        port = (server.address() as net.AddressInfo).port;
        scope.defer(() => {
            server.close();
            server.closeAllConnections();
        });
    });
    after(() => scope.close());

    /** Writes pieces to a new connection, and resolves with what has come once it ends. */
    const exchange = (pieces: readonly string[]) =>
        new Promise<string>((resolve) => {
            const socket = net.connect({ host: "127.0.0.1", port, noDelay: true });
            let received = "";
            socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(received));
            const write = (index: number) => {
                socket.write(pieces[index] ?? "");
                if (index + 1 < pieces.length) {
                    setImmediate(() => write(index + 1));
                }
            };
            write(0);
        });

    it("are read request by request, however their bytes are cut", async () => {
        const request = fastCheck.record({
            body: fastCheck.constantFrom(...BODIES),
            inChunks: fastCheck.boolean(),
            blankLines: fastCheck.nat(2),
        });
        const cuts = fastCheck.array(fastCheck.nat(3_000), { minLength: 1, maxLength: 8 });
        const check = fastCheck.asyncProperty(fastCheck.array(request, { maxLength: 8 }), cuts, async (list, sizes) => {
            const texts = list.map(({ body, inChunks, blankLines }, index) => {
                const chunk = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
                const head = inChunks ? "Transfer-Encoding: chunked" : `Content-Length: ${body.length}`;
                const framed = inChunks ? `${chunk}0\r\n\r\n` : body;
                return `${"\r\n".repeat(blankLines)}POST /${index} HTTP/1.1\r\nHost: a\r\n${head}\r\n\r\n${framed}`;
            });
            const bytes = texts.join("") + "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            const pieces: string[] = [];
            for (let at = 0; at < bytes.length;) {
                const size = 1 + (sizes[pieces.length % sizes.length] ?? 0);
                pieces.push(bytes.slice(at, at + size));
                at += size;
            }
            const received = await exchange(pieces);
            const answers = [...received.matchAll(/\r\n\r\n([^|]*)\|/g)].map(([, text]) => text);
            const expected = list.map(({ body }, index) => `POST /${index} ${body}`);
            chai.expect(answers).to.deep.equal([...expected, "GET /last "]);
        });
        await fastCheck.assert(check, { numRuns: 60 });
    });

    it("are closed if their head does not come whole, also behind answered requests, and no line ends count as one", async () => {
        const whole = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
        const received = await exchange([whole, "GET /2 HTTP/1.1\r\nHo"]);
        chai.expect(received).to.include("GET /1 |").and.not.include("GET /2");
        chai.expect(closed).to.deep.equal(["headOverdue"]);
        const socket = net.connect({ host: "127.0.0.1", port });
        scope.defer(() => void socket.destroy());
        socket.write(`${whole}\r\n\r\n`);
        await new Promise((resolve) => socket.once("data", resolve));
        await lifecycle.pause(scope, 2_000);
        chai.expect(closed).to.deep.equal(["headOverdue"]);
        chai.expect(socket.closed).to.equal(false);
        socket.destroy();
    });

    it("are closed, the longest idle first, when there are too many", async () => {
        closed.length = 0;
        const sockets: net.Socket[] = [];
        for (let count = 0; count < 6; count++) {
            const socket = net.connect({ host: "127.0.0.1", port });
            scope.defer(() => void socket.destroy());
            sockets.push(socket);
            socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
            await new Promise((resolve) => socket.once("data", resolve));
        }
        await lifecycle.pause(scope, 100);
        chai.expect(sockets.map((socket) => socket.closed)).to.deep.equal([true, true, false, false, false, false]);
        chai.expect(closed).to.deep.equal(["tooMany", "tooMany"]);
    });
});
