// A proxy on the way between clients and a host, which delays all bytes, and the end of a connection, by the same time.
import * as net from "node:net";
import { listen } from "./fleet.mjs";

/** Listens on a free port of the loopback address; returns where clients connect. */
export async function delayLink(target, delayMs) {
    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
        const host = net.connect({ host: target.ip, port: target.front, allowHalfOpen: true, noDelay: true });
        forward(client, host, delayMs);
        forward(host, client, delayMs);
    });
    const front = await listen(server);
    return { name: target.name, ip: "127.0.0.1", front };
}

function forward(from, to, delayMs) {
    const later = (action) => setTimeout(() => to.destroyed || action(), delayMs);
    from.on("data", (bytes) => later(() => to.write(bytes)));
    from.on("end", () => later(() => to.end()));
    from.on("error", () => later(() => to.resetAndDestroy()));
    from.on("close", (failed) => failed || later(() => to.end()));
}
