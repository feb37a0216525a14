import type * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import type * as http from "node:http";
import type * as net from "node:net";
import * as promClient from "prom-client";

/** Counts the bytes of connections that carry control: those to the platform and to other routers. */
export interface ControlTraffic {
    /** An agent whose connections are counted. */
    readonly agent: http.Agent;
    /** Counts the connections that a server accepts. */
    readonly watchServer: (server: http.Server) => void;
}

interface ByteCounts {
    received: number;
    sent: number;
}

/** Makes the counters. The connections of the agent are closed with the scope. */
export function countControlTraffic(scope: lifecycle.Lifecycle, registry: promClient.Registry): ControlTraffic {
    const open = new Set<net.Socket>();
    const ended: ByteCounts = { received: 0, sent: 0 };
    const watchSocket = (socket: net.Socket) => {
        open.add(socket);
        socket.once("close", () => {
            open.delete(socket);
            ended.received += socket.bytesRead;
            ended.sent += socket.bytesWritten;
        });
    };
    registerBytes(registry, () => {
        const sum: ByteCounts = { ...ended };
        open.forEach((socket) => {
            sum.received += socket.bytesRead;
            sum.sent += socket.bytesWritten;
        });
        return sum;
    });
    const agent = platform.makeAgent(watchSocket);
    scope.own(() => agent.destroy());
    return { agent, watchServer: (server) => server.on("connection", watchSocket) };
}

function registerBytes(registry: promClient.Registry, read: () => ByteCounts): void {
    new promClient.Gauge({
        name: "citronlead_control_bytes",
        help: "Bytes on connections to the platform and to other routers since the start.",
        labelNames: ["direction"] as const,
        registers: [registry],
        collect() {
            const counts = read();
            this.set({ direction: "received" }, counts.received);
            this.set({ direction: "sent" }, counts.sent);
        },
    });
}
