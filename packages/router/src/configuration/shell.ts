import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as propagation from "@citronlead/propagation";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as peers from "../peers/transport.js";
import * as exchanges from "./exchange.js";
import * as store from "./store.js";

export { CONFIGURATION_KEY } from "./store.js";

/** The configuration that this router applies. */
export interface ConfigurationInForce {
    /** The configuration in force; undefined until the first one arrives. */
    readonly current: () => configuration.Configuration | undefined;
    /** Whether this router is up to date on withdrawn keys; if not, requests that need a key are refused. */
    readonly keysUsable: () => boolean;
    /** Calls the listener after each change. Returns a function that removes it. */
    readonly onChange: (listener: (current: configuration.Configuration) => void) => () => void;
}

const TICK_INTERVAL_MS = 250;
/** A watch without any event for this long is restarted. Periodic reads go on meanwhile. */
const WATCH_IDLE_TIMEOUT_MS = 5_000;

/** Follows the configuration in the key-value service and at the other hosts. Revisions only go up. */
export function followConfiguration(
    context: contexts.Context,
    membership: memberships.Membership,
    transport: peers.PeerTransport,
): ConfigurationInForce {
    const follower = new ConfigurationFollower(context, membership, transport);
    return {
        current: () => follower.current(),
        keysUsable: () => follower.keysUsable(),
        onChange: (listener) => follower.onChange(listener),
    };
}

/** Feeds events to the propagation module, and carries out its actions. */
class ConfigurationFollower {
    private state: propagation.PropagationState;
    private inForce: configuration.Configuration | undefined;
    private readonly joiner = new configuration.ConfigurationJoiner();
    private readonly parts = new Map<string, string>();
    private readonly listeners = new Set<(current: configuration.Configuration) => void>();
    private readonly exchange: exchanges.ConfigurationExchange;
    /** The configuration that was fetched last; the propagation module decides when it is put in force. */
    private fetched:
        | { readonly joined: configuration.Configuration; readonly head: configuration.ConfigurationHead; }
        | undefined;
    private headInForce: configuration.ConfigurationHead | undefined;
    /** The head that the key-value service reported last, by a watch or a read. */
    private latestHead: configuration.ConfigurationHead | undefined;
    private watchCount = 0;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        transport: peers.PeerTransport,
    ) {
        const { host, availabilityZone } = context.settings;
        this.state = propagation.propagationModule.start({ host, availabilityZone }, context.clock());
        this.exchange = new exchanges.ConfigurationExchange(context, membership, transport, {
            dispatch: (event) => this.dispatch(event),
            stored: () => this.headInForce && { head: this.headInForce, parts: this.parts },
        });
        this.dispatchRoster();
        membership.onChange(() => this.dispatchRoster());
        this.dispatch({ kind: propagation.PropagationEventKind.Tick });
        lifecycle.every(
            context.scope,
            TICK_INTERVAL_MS,
            () => this.dispatch({ kind: propagation.PropagationEventKind.Tick }),
        );
    }

    current(): configuration.Configuration | undefined {
        return this.inForce;
    }

    keysUsable(): boolean {
        return propagation.keysUsable(this.state, this.context.clock());
    }

    onChange(listener: (current: configuration.Configuration) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private dispatchRoster(): void {
        const roster = this.membership.roster().map(({ host, availabilityZone }) => ({ host, availabilityZone }));
        this.dispatch({ kind: propagation.PropagationEventKind.RosterChanged, roster });
    }

    private dispatch(event: propagation.PropagationEvent): void {
        if (this.context.scope.closed) {
            return;
        }
        const next = propagation.propagationModule.decide(this.state, event, this.context.clock());
        this.state = next.state;
        next.actions.forEach((action) => this.carryOut(action));
    }

    private carryOut(action: propagation.PropagationAction): void {
        switch (action.kind) {
            case propagation.PropagationActionKind.Watch:
                return this.watch();
            case propagation.PropagationActionKind.ReadHead:
                return void this.readHead();
            case propagation.PropagationActionKind.Fetch:
                lifecycle.after(this.context.scope, action.afterMs, () => void this.fetch(action));
                return;
            case propagation.PropagationActionKind.PutInForce:
                return this.putInForce(action.revision);
            case propagation.PropagationActionKind.SendRevisionRequest:
                return this.exchange.requestRevision(action);
            case propagation.PropagationActionKind.SendRevisionReply:
                return this.exchange.sendRevision(action);
        }
    }

    private watch(): void {
        const addresses = this.context.settings.platform.keyValue;
        const address = addresses[this.watchCount++ % addresses.length] ?? "";
        const options = { address, prefix: store.CONFIGURATION_KEY, fromRevision: 0, silenceMs: WATCH_IDLE_TIMEOUT_MS };
        platform.watch(this.context.scope, options, (event) => {
            if (event.kind === platform.WatchEventKind.Broken) {
                this.dispatch({ kind: propagation.PropagationEventKind.WatchEnded });
            }
            else if (event.kind === platform.WatchEventKind.Put) {
                const head = configuration.parseHead(event.entry.value);
                if (head) {
                    this.latestHead = head;
                    this.dispatch({ kind: propagation.PropagationEventKind.WatchNotified, revision: head.revision });
                }
            }
        });
    }

    private async readHead(): Promise<void> {
        const askedAt = this.context.clock();
        const outcome = await store.readHead(this.context.keyValue);
        if (outcome.effect !== decision.Effect.Known || outcome.value.unreadable) {
            this.dispatch({ kind: propagation.PropagationEventKind.HeadReadFailed });
            return;
        }
        this.latestHead = outcome.value.head;
        const revision = outcome.value.head?.revision ?? 0;
        this.dispatch({ kind: propagation.PropagationEventKind.HeadRead, revision, askedAt });
    }

    private async fetch(action: exchanges.FetchAction): Promise<void> {
        const parts = new Map(this.parts);
        const head = action.from === undefined
            ? await this.fetchFromService(parts, action.revision)
            : await this.exchange.fetch(action.from, parts);
        const joined = head && this.joiner.join({ head, parts });
        if (!head || !joined) {
            this.context.log.warn({ revision: action.revision, from: action.from }, "configuration fetch failed");
            this.dispatch({ kind: propagation.PropagationEventKind.FetchFailed, revision: action.revision });
            return;
        }
        configuration.partHashes(head).forEach((hash) => this.parts.set(hash, parts.get(hash) ?? ""));
        this.fetched = { head, joined };
        this.dispatch({ kind: propagation.PropagationEventKind.Fetched, revision: head.revision });
    }

    /** Fetches the parts of the latest known head. If some are gone, reads the head again and fetches its parts. */
    private async fetchFromService(
        parts: Map<string, string>,
        revision: number,
    ): Promise<configuration.ConfigurationHead | undefined> {
        const { keyValue } = this.context;
        const latest = this.latestHead;
        if (latest && latest.revision >= revision && await this.fetchParts(latest, parts)) {
            return latest;
        }
        const read = await store.readHead(keyValue);
        const head = read.effect === decision.Effect.Known ? read.value.head : undefined;
        return head && await this.fetchParts(head, parts) ? head : undefined;
    }

    private async fetchParts(head: configuration.ConfigurationHead, parts: Map<string, string>): Promise<boolean> {
        const outcome = await store.readMissingParts(this.context.keyValue, head, parts);
        return outcome.effect === decision.Effect.Known && outcome.value;
    }

    private putInForce(revision: number): void {
        const { fetched } = this;
        decision.invariant(fetched?.head.revision === revision, "only a fetched revision is put in force");
        this.headInForce = fetched.head;
        this.inForce = fetched.joined;
        const usedHashes = new Set(configuration.partHashes(fetched.head));
        [...this.parts.keys()].filter((hash) => !usedHashes.has(hash)).forEach((hash) => this.parts.delete(hash));
        this.context.log.info({ revision }, "configuration in force");
        this.listeners.forEach((listener) => listener(fetched.joined));
    }
}
