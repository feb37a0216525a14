import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as chai from "chai";
import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as url from "node:url";

const SEED = Number(process.env["CITRONLEAD_SEED"] ?? 1);
const RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const CALLS = url.fileURLToPath(new URL("./notsentcalls.js", import.meta.url));

// Guards against calls that count as not sent, and so are sent again, although an upstream got some of their bytes.
describe("Calls that are given up while their connection is made, by a process that stands still at times", () => {
    const scope = new lifecycle.Scope("test");
    const random = decision.seeded(SEED);
    const arrived = new Set<string>();
    const serve = (socket: net.Socket) => {
        socket.on("error", () => undefined);
        if (random.fraction() < 0.1) {
            socket.resetAndDestroy();
            return;
        }
        socket.on("data", (bytes) => {
            for (const [, id] of bytes.toString("latin1").matchAll(/POST \/(\S+)/g)) {
                arrived.add(id as string);
            }
            const end = random.fraction();
            if (end < 0.1) {
                socket.resetAndDestroy();
                return;
            }
            socket.write(RESPONSE);
            if (end < 0.4) {
                setTimeout(() => socket.destroy(), random.fraction() * 3);
            }
        });
    };

    after(() => scope.close());

    it("have reached no upstream if they count as not sent", async () => {
        const server = net.createServer(serve);
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        scope.defer(() => void server.close());
        const { port } = server.address() as net.AddressInfo;
        const caller = childProcess.fork(CALLS, [String(port), String(SEED)], { execArgv: [] });
        scope.defer(() => void caller.kill("SIGKILL"));
        let notSent: string[] | undefined;
        caller.once("message", (ids) => notSent = ids as string[]);
        while (notSent === undefined && caller.exitCode === null) {
            await lifecycle.pause(scope, 10 + random.fraction() * 60);
            caller.kill("SIGSTOP");
            // Now and then for longer than a connection may take.
            await lifecycle.pause(scope, random.fraction() < 0.1 ? 400 : random.fraction() * 20);
            caller.kill("SIGCONT");
        }
        await lifecycle.pause(scope, 300);
        chai.expect(notSent?.length).to.be.above(100);
        chai.expect(arrived.size).to.be.above(100);
        chai.expect(notSent?.filter((id) => arrived.has(id))).to.deep.equal([]);
    });
});
