import * as protobuf from "@bufbuild/protobuf";
import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as protocol from "@citronlead/protocol";
import * as standins from "@citronlead/standins";
import * as pino from "pino";
import * as configurations from "../../src/configuration/shell.js";
import * as store from "../../src/configuration/store.js";
import type * as contexts from "../../src/context.js";
import type * as memberships from "../../src/membership/shell.js";
import type * as peers from "../../src/peers/transport.js";

const ADDRESS = "127.0.0.32";
/** Nothing listens at this port. */
const UNREACHABLE_ADDRESS = "http://127.0.0.32:1";

const FLEET = `
fleet: test
region: test
availabilityZones: [zone-a, zone-b, zone-c]
zoneDelay: 0.5ms
callerDelay: 1ms
profiles:
  counter:
    priority: 0
    firstTokenTarget: 500ms
    betweenTokensTarget: 100ms
    deadline: 8s
    workspaces:
      guild: { tokensPerSecond: 100000, burstTokens: 400000 }
pools: {}
`;

/** A host that follows the configuration. */
export interface FollowingHost {
    readonly name: string;
    readonly scope: lifecycle.Scope;
    readonly configuration: configurations.ConfigurationInForce;
    readonly receivers: Map<string, peers.MessageHandler[]>;
    /** Whether the host cannot reach the key-value service. */
    keyValueCutOff: boolean;
    /** Whether the host cannot reach the other hosts. */
    isolated: boolean;
}

/** Hosts in one process that follow the configuration, with a platform stand-in and messages passed in memory. */
export class Followers {
    readonly scope = new lifecycle.Scope("followers");
    readonly hosts: FollowingHost[] = [];
    keyValue!: platform.KeyValue;
    revision = 0;
    /** Added to the clock of every host, in milliseconds. */
    clockOffsetMs = 0;
    private address = "";
    private modRevision = 0;
    private head: configuration.ConfigurationHead | undefined;

    async start(count: number): Promise<void> {
        const options = { address: ADDRESS, port: 0, weightRateBytesPerSecond: 1e9 };
        this.address = (await standins.startPlatform(this.scope, options)).address;
        this.keyValue = platform.connectKeyValue({ addresses: [this.address], timeoutMs: 1_000 });
        await this.acceptRevision();
        for (let index = 0; index < count; index++) {
            this.startHost(`host-${index}`, false);
        }
    }

    /** Stores the next revision. It has as many keys as its revision number. */
    async acceptRevision(): Promise<void> {
        const fleet = configuration.parseFleet("fleet", FLEET);
        if (!fleet.valid) {
            throw new Error(JSON.stringify(fleet.problems));
        }
        this.revision++;
        const keys = Array.from({ length: this.revision }, (_, index) => ({
            id: `key-${index}`,
            workspace: "guild",
            hash: configuration.hashKey(`key-${index}`),
        }));
        const next = { revision: this.revision, fleet: fleet.value, text: FLEET, keys };
        const outcome = await store.swapConfiguration(this.keyValue, next, this.modRevision, this.head);
        const stored = await store.readHead(this.keyValue);
        if (outcome.effect !== decision.Effect.Known || stored.effect !== decision.Effect.Known) {
            throw new Error(`configuration was not stored: ${JSON.stringify(outcome)}`);
        }
        this.modRevision = stored.value.modRevision;
        this.head = stored.value.head;
    }

    async setFaults(faults: Partial<standins.PlatformFaults>): Promise<void> {
        await (await fetch(`${this.address}/standin/faults`, { method: "PUT", body: JSON.stringify(faults) })).text();
    }

    /** Starts a host, in place of one with the same name. With keyValueCutOff it cannot reach the key-value service. */
    startHost(name: string, keyValueCutOff: boolean): FollowingHost {
        const scope = this.scope.child(name);
        const host = {
            name,
            scope,
            receivers: new Map<string, peers.MessageHandler[]>(),
            keyValueCutOff,
            isolated: false,
        };
        const following = host as unknown as FollowingHost;
        const former = this.hosts.findIndex((candidate) => candidate.name === name);
        this.hosts.splice(former < 0 ? this.hosts.length : former, former < 0 ? 0 : 1, following);
        const inForce = configurations.followConfiguration(
            this.context(following),
            this.membership(),
            this.transport(following),
        );
        Object.assign(following, { configuration: inForce });
        return following;
    }

    private context(host: FollowingHost): contexts.Context {
        const address = host.keyValueCutOff ? UNREACHABLE_ADDRESS : this.address;
        const settings = {
            host: host.name,
            availabilityZone: zoneOf(host.name),
            platform: { keyValue: [address] },
        } as unknown as configuration.RouterSettings;
        const direct = platform.connectKeyValue({ addresses: [this.address], timeoutMs: 1_000 });
        return {
            settings,
            scope: host.scope,
            clock: () => lifecycle.monotonicClock() + this.clockOffsetMs,
            log: pino.pino({ level: "silent" }),
            keyValue: {
                ...direct,
                read: async (key: string) => host.keyValueCutOff ? decision.noEffect("cut off") : direct.read(key),
                readPrefix: async (prefix: string) =>
                    host.keyValueCutOff ? decision.noEffect("cut off") : direct.readPrefix(prefix),
            },
        } as unknown as contexts.Context;
    }

    private membership(): memberships.Membership {
        const roster = () =>
            ["host-0", "host-1", "host-2"].map((host) => ({
                host,
                incarnation: "",
                availabilityZone: zoneOf(host),
                peerAddress: "",
            }));
        return { roster, onChange: () => undefined } as unknown as memberships.Membership;
    }

    private transport(host: FollowingHost): peers.PeerTransport {
        return {
            send: (name, _address, body) => {
                const peer = this.hosts.find((candidate) => candidate.name === name);
                const message = protobuf.create(protocol.PeerMessageSchema, { body });
                if (peer && !peer.isolated && !host.isolated && !peer.scope.closed) {
                    setImmediate(() =>
                        peer.receivers.get(message.body.case ?? "")?.forEach((receiver) =>
                            receiver({ sender: host.name, senderIncarnation: "", message })
                        )
                    );
                }
            },
            onMessage: (kind, receiver) => host.receivers.set(kind, [...host.receivers.get(kind) ?? [], receiver]),
        };
    }
}

function zoneOf(host: string): string {
    return `zone-${host.at(-1)}`;
}
