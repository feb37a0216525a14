import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as workers from "node:worker_threads";
import * as fixtures from "./fixture.js";

/** More than the operating system takes at once. */
const UPLOAD_BYTES = 8 * 1_048_576;
const UPLOADS = 60;
/** A server that reads each request to its end before it answers without framing, on a thread of its own. */
const SERVER = `
    const net = require("node:net");
    const { parentPort } = require("node:worker_threads");
    const server = net.createServer((socket) => {
        let head = "";
        let size = 0;
        let end = Infinity;
        socket.on("error", () => undefined);
        socket.on("data", (bytes) => {
            size += bytes.length;
            if (end === Infinity) {
                head += bytes.toString("latin1");
                const headEnd = head.indexOf("\\r\\n\\r\\n");
                end = headEnd < 0 ? Infinity : headEnd + 4 + Number(/content-length: (\\d+)/i.exec(head)[1]);
            }
            if (size >= end) {
                socket.end("HTTP/1.1 200 OK\\r\\nrequest-id: r-1\\r\\nsignature: s\\r\\n\\r\\nwhole");
            }
        });
    }).listen(0, "127.0.0.1", () => parentPort.postMessage(server.address()));
`;

// Guards against whole answers that are refused as if their servers had not read the request.
describe("Answers without framing to long uploads", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(2_330);

    before(async () => {
        const worker = new workers.Worker(SERVER, { eval: true });
        fixture.scope.defer(async () => void await worker.terminate());
        const { port } = await new Promise<net.AddressInfo>((resolve) => worker.once("message", resolve));
        const upstream = fixtures.makeUpstream("reader", { service: "uploads", address: `127.0.0.1:${port}` });
        fixture.standIns.push({ upstream, received: [], behave: () => undefined, stop: async () => undefined });
        const { limits, routes, services } = fixtures.makeConfiguration();
        const [look] = routes as [routing.Route];
        const upload = { name: "upload", pathPrefix: "/upload/", targets: [{ service: "uploads", weight: 1 }] };
        await fixture.start(fixtures.makeConfiguration({
            routes: [{ ...look, ...upload, kind: routing.RouteKind.NonIdempotent }],
            services: [
                ...services,
                { name: "uploads", connectionLimit: 100, healthPath: undefined, engine: undefined },
            ],
            limits: { ...limits, bodyBytes: UPLOAD_BYTES },
        }));
    });
    after(() => fixture.close());

    it("are passed on if their server has read the request", async () => {
        const body = "b".repeat(UPLOAD_BYTES);
        const statuses: number[] = [];
        for (let count = 0; count < UPLOADS; count++) {
            statuses.push((await fixture.send({ path: "/upload/1", method: "POST", body })).status);
        }
        chai.expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
    });
});
