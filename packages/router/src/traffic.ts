import type * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import type * as http from "node:http";
import type * as net from "node:net";
import * as promClient from "prom-client";

/** Counts the bytes of control traffic: connections to the platform and to other routers. */
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

/** Registers the byte counters. Closing the scope closes the agent's connections. */
export function countControlTraffic(scope: lifecycle.Scope, registry: promClient.Registry): ControlTraffic {
    const open = new Set<net.Socket>();
    const closedTotals: ByteCounts = { received: 0, sent: 0 };
    const watchSocket = (socket: net.Socket) => {
        open.add(socket);
        socket.once("close", () => {
            open.delete(socket);
            closedTotals.received += socket.bytesRead;
            closedTotals.sent += socket.bytesWritten;
        });
    };
    registerByteGauge(registry, () => {
        const sum: ByteCounts = { ...closedTotals };
        open.forEach((socket) => {
            sum.received += socket.bytesRead;
            sum.sent += socket.bytesWritten;
        });
        return sum;
    });
    const agent = platform.makeAgent(watchSocket);
    scope.defer(() => agent.destroy());
    return { agent, watchServer: (server) => server.on("connection", watchSocket) };
}

function registerByteGauge(registry: promClient.Registry, read: () => ByteCounts): void {
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
