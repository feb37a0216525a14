import * as protobuf from "@bufbuild/protobuf";
import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as protocol from "@citronlead/protocol";
import * as admissions from "../../src/admission/shell.js";
import type * as configurations from "../../src/configuration/shell.js";
import type * as contexts from "../../src/context.js";
import type * as memberships from "../../src/membership/shell.js";
import * as metrics from "../../src/metrics.js";
import type * as peers from "../../src/peers/transport.js";
import type * as realPeers from "./peers.js";

/** Rate and burst of the only workspace. */
export interface FakeRate {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

type HandOverListener = (partition: string, next: memberships.RosterHost) => Promise<void>;

/** The admission components of several hosts in one process, with an in-memory network and a fake membership. */
export class FakeFleet {
    readonly scope = new lifecycle.Scope("fake fleet");
    readonly hosts: readonly memberships.RosterHost[];
    /** Hosts that receive messages, but whose own messages are lost. */
    readonly silentHosts = new Set<string>();
    readonly sentMessages: string[] = [];
    readonly owners = new Map<string, { host: memberships.RosterHost; fencing: number; }>();
    /** Partitions being handed over: their owner is still named as such, but no longer acts for them. */
    private readonly handingOver = new Set<string>();
    private readonly receivers = new Map<string, peers.MessageHandler>();
    private readonly ownerListeners: (() => void)[] = [];
    private readonly handOverListeners = new Map<string, HandOverListener>();
    private readonly admissions = new Map<string, admissions.Admission>();

    constructor(
        names: readonly string[],
        private readonly rate: FakeRate,
        private readonly revision = 1,
        private readonly openedPeers: ReadonlyMap<string, realPeers.RealPeer> = new Map(),
        onlyOwner?: string,
    ) {
        this.hosts = names.map((host, index) => ({
            host,
            incarnation: `${host}-1`,
            availabilityZone: `zone-${index}`,
            peerAddress: this.openedPeers.get(host)?.address ?? `http://${host}`,
        }));
        const soleOwner = this.hosts.find((host) => host.host === onlyOwner);
        for (const partition of membershipDecisions.allPartitions()) {
            const slice = Number(partition.split("-")[1]);
            this.owners.set(partition, { host: soleOwner ?? this.hosts[slice % this.hosts.length]!, fencing: 1 });
        }
        this.hosts.forEach((host) => this.admissions.set(host.host, this.start(host)));
    }

    admission(host: string): admissions.Admission {
        return this.admissions.get(host)!;
    }

    private start(host: memberships.RosterHost): admissions.Admission {
        return admissions.startAdmission(
            this.context(host),
            this.configuration(),
            this.membership(host),
            this.peers(host),
        );
    }

    private context(host: memberships.RosterHost): contexts.Context {
        const stored = JSON.stringify({ revision: this.revision });
        const keyValue = { read: async () => decision.knownEffect({ entries: [{ value: stored }] }) };
        const context: Partial<contexts.Context> = {
            incarnation: host.incarnation,
            scope: this.scope.child(host.host),
            clock: lifecycle.monotonicClock,
            metrics: metrics.makeMetrics(),
            settings: { host: host.host, availabilityZone: host.availabilityZone } as configuration.RouterSettings,
            keyValue: keyValue as unknown as contexts.Context["keyValue"],
        };
        return context as contexts.Context;
    }

    private configuration(): configurations.ConfigurationInForce {
        const fleet = { profiles: { usual: { workspaces: { atelier: { weight: 1, ...this.rate } } } } };
        const current = { revision: this.revision, fleet } as unknown as configuration.Configuration;
        return { current: () => current, keysUsable: () => true, onChange: () => () => undefined };
    }

    private membership(self: memberships.RosterHost): memberships.Membership {
        return {
            roster: () => this.hosts,
            ownerOf: (partition) => this.owners.get(partition)?.host,
            rightFor: (partition) => {
                const owned = this.owners.get(partition);
                return owned?.host === self && !this.handingOver.has(partition)
                    ? { fencing: owned.fencing, until: lifecycle.monotonicClock() + 10_000 }
                    : undefined;
            },
            settled: () => true,
            onChange: (listener) => this.ownerListeners.push(listener),
            beforeHandOver: (listener) => this.handOverListeners.set(self.host, listener),
            handOver: async () => undefined,
        };
    }

    private peers(self: memberships.RosterHost): peers.PeerTransport {
        const real = this.openedPeers.get(self.host);
        if (real) {
            return real.transport;
        }
        return {
            send: (host, _address, body) => {
                if (this.silentHosts.has(self.host)) {
                    return;
                }
                this.sentMessages.push(`${self.host} ${host} ${messageKind(body)}`);
                // Messages are encoded and decoded, as between processes.
                const made = protobuf.create(protocol.PeerMessageSchema, { body });
                const bytes = protobuf.toBinary(protocol.PeerMessageSchema, made);
                setImmediate(() => {
                    const message = protobuf.fromBinary(protocol.PeerMessageSchema, bytes);
                    const senderIncarnation = self.incarnation;
                    this.receivers.get(host)?.({ sender: self.host, senderIncarnation, message });
                });
            },
            onMessage: (_kind, receiver) => this.receivers.set(self.host, receiver),
        };
    }

    /** Hands a partition over to another host, in the steps that membership takes. */
    async handOver(partition: string, next: memberships.RosterHost): Promise<void> {
        const owned = this.owners.get(partition)!;
        this.handingOver.add(partition);
        await this.handOverListeners.get(owned.host.host)!(partition, next);
        this.handingOver.delete(partition);
        this.owners.set(partition, { host: next, fencing: owned.fencing + 1 });
        this.ownerListeners.forEach((listener) => listener());
    }
}

function messageKind(body: peers.PeerBody): string {
    return body?.case === "admission" ? body.value.body?.case ?? "" : "";
}
