import type * as configuration from "@citronlead/configuration";
import type * as lifecycle from "@citronlead/lifecycle";
import * as pino from "pino";
import * as promClient from "prom-client";
import type * as contexts from "../../src/context.js";
import * as peers from "../../src/peers/transport.js";
import * as traffic from "../../src/traffic.js";

/** Opens a real peer port for each host, at consecutive ports of this machine. */
export async function openRealPeers(
    scope: lifecycle.Scope,
    hosts: readonly string[],
    firstPort: number,
): Promise<ReadonlyMap<string, RealPeer>> {
    const opened = hosts.map(async (host, index): Promise<[string, RealPeer]> => {
        const port = firstPort + index;
        const settings = { host, peers: { address: "127.0.0.1", port } } as configuration.RouterSettings;
        const control = traffic.countControlTraffic(scope, new promClient.Registry());
        const log = pino.pino({ level: "silent" });
        const context: Partial<contexts.Context> = {
            settings,
            incarnation: `${host}-1`,
            scope: scope.child(host),
            log,
            control,
        };
        const transport = await peers.openPeerTransport(context as contexts.Context);
        return [host, { transport, address: `http://127.0.0.1:${port}` }];
    });
    return new Map(await Promise.all(opened));
}

/** An open peer port and its base address. */
export interface RealPeer {
    readonly transport: peers.PeerTransport;
    readonly address: string;
}
