import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as propagation from "@citronlead/propagation";
import * as exchanges from "./configurationexchange.js";
import * as store from "./configurationstore.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";

export { CONFIGURATION_KEY } from "./configurationstore.js";

/** The configuration that this router works by. */
export interface ConfigurationInForce {
    /** The configuration in force, or undefined before the first was learnt. */
    readonly current: () => configuration.Configuration | undefined;
    /** Whether this router can know of withdrawn keys; if not, requests that need a key are refused. */
    readonly keysUsable: () => boolean;
    /** Calls back after each change. Returns a function that ends it. */
    readonly onChange: (listener: (current: configuration.Configuration) => void) => () => void;
}

const TICK_MS = 250;
/** A watch that tells nothing for this long is started again; reads do not wait for it. */
const WATCH_SILENCE_MS = 5_000;

/** Follows the configuration in the key-value service and at the other hosts. A lower revision never replaces a higher. */
export function followConfiguration(
    context: contexts.Context,
    membership: memberships.Membership,
    links: peers.Peers,
): ConfigurationInForce {
    const follower = new Follower(context, membership, links);
    return {
        current: () => follower.current(),
        keysUsable: () => follower.keysUsable(),
        onChange: (listener) => follower.onChange(listener),
    };
}

class Follower {
    private state: propagation.PropagationState;
    private inForce: configuration.Configuration | undefined;
    private readonly joiner = new configuration.ConfigurationJoiner();
    private readonly held = new Map<string, string>();
    private readonly listeners = new Set<(current: configuration.Configuration) => void>();
    private readonly exchange: exchanges.ConfigurationExchange;
    /** A configuration that was fetched and is put in force when the decision says so. */
    private fetched:
        | { readonly joined: configuration.Configuration; readonly head: configuration.ConfigurationHead; }
        | undefined;
    private head: configuration.ConfigurationHead | undefined;
    /** The latest head that the service told. */
    private toldHead: configuration.ConfigurationHead | undefined;
    private watches = 0;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        links: peers.Peers,
    ) {
        const { host, availabilityZone } = context.settings;
        this.state = propagation.propagationModule.start({ host, availabilityZone }, context.clock());
        this.exchange = new exchanges.ConfigurationExchange(context, membership, links, {
            tell: (event) => this.tell(event),
            held: () => this.head && { head: this.head, parts: this.held },
        });
        this.noteRoster();
        membership.onChange(() => this.noteRoster());
        this.tell({ kind: propagation.PropagationEventKind.Tick });
        lifecycle.every(context.scope, TICK_MS, () => this.tell({ kind: propagation.PropagationEventKind.Tick }));
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

    private noteRoster(): void {
        const roster = this.membership.roster().map(({ host, availabilityZone }) => ({ host, availabilityZone }));
        this.tell({ kind: propagation.PropagationEventKind.RosterChanged, roster });
    }

    private tell(event: propagation.PropagationEvent): void {
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
            case propagation.PropagationActionKind.Ask:
                return this.exchange.ask(action);
            case propagation.PropagationActionKind.Reply:
                return this.exchange.reply(action);
        }
    }

    private watch(): void {
        const addresses = this.context.settings.platform.keyValue;
        const address = addresses[this.watches++ % addresses.length] ?? "";
        const options = { address, prefix: store.CONFIGURATION_KEY, fromRevision: 0, silenceMs: WATCH_SILENCE_MS };
        platform.watch(this.context.scope, options, (event) => {
            if (event.kind === platform.WatchEventKind.Broken) {
                this.tell({ kind: propagation.PropagationEventKind.WatchEnded });
            }
            else if (event.kind === platform.WatchEventKind.Put) {
                const head = configuration.readHead(event.entry.value);
                if (head) {
                    this.toldHead = head;
                    this.tell({ kind: propagation.PropagationEventKind.WatchTold, revision: head.revision });
                }
            }
        });
    }

    private async readHead(): Promise<void> {
        const askedAt = this.context.clock();
        const outcome = await store.readHead(this.context.keyValue);
        if (outcome.effect !== decision.Effect.Known || outcome.value.unreadable) {
            this.tell({ kind: propagation.PropagationEventKind.ReadLost });
            return;
        }
        this.toldHead = outcome.value.head;
        const revision = outcome.value.head?.revision ?? 0;
        this.tell({ kind: propagation.PropagationEventKind.HeadRead, revision, askedAt });
    }

    private async fetch(action: exchanges.FetchAction): Promise<void> {
        const held = new Map(this.held);
        const head = action.from === undefined
            ? await this.fetchFromService(held, action.revision)
            : await this.exchange.fetch(action.from, held);
        const joined = head && this.joiner.join({ head, parts: held });
        if (!head || !joined) {
            this.context.log.warn({ revision: action.revision, from: action.from }, "configuration not fetched");
            this.tell({ kind: propagation.PropagationEventKind.FetchLost, revision: action.revision });
            return;
        }
        configuration.partHashes(head).forEach((hash) => this.held.set(hash, held.get(hash) ?? ""));
        this.fetched = { head, joined };
        this.tell({ kind: propagation.PropagationEventKind.Fetched, revision: head.revision });
    }

    /** Fetches the head that was told last; if its parts are gone meanwhile, the one that is stored now. */
    private async fetchFromService(
        held: Map<string, string>,
        revision: number,
    ): Promise<configuration.ConfigurationHead | undefined> {
        const { keyValue } = this.context;
        const told = this.toldHead;
        if (told && told.revision >= revision && await this.holdsAll(told, held)) {
            return told;
        }
        const read = await store.readHead(keyValue);
        const head = read.effect === decision.Effect.Known ? read.value.head : undefined;
        return head && await this.holdsAll(head, held) ? head : undefined;
    }

    private async holdsAll(head: configuration.ConfigurationHead, held: Map<string, string>): Promise<boolean> {
        const outcome = await store.readParts(this.context.keyValue, head, held);
        return outcome.effect === decision.Effect.Known && outcome.value;
    }

    private putInForce(revision: number): void {
        const { fetched } = this;
        decision.invariant(fetched?.head.revision === revision, "what is put in force was fetched");
        this.head = fetched.head;
        this.inForce = fetched.joined;
        const kept = new Set(configuration.partHashes(fetched.head));
        [...this.held.keys()].filter((hash) => !kept.has(hash)).forEach((hash) => this.held.delete(hash));
        this.context.log.info({ revision }, "configuration in force");
        this.listeners.forEach((listener) => listener(fetched.joined));
    }
}
