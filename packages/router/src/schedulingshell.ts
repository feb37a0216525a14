import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as scheduling from "@citronlead/scheduling";
import type * as configurations from "./configurationshell.js";
import * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";
import * as baselines from "./scheduling/baseline.js";
import * as clients from "./scheduling/client.js";
import * as fallbacks from "./scheduling/fallback.js";
import * as messages from "./scheduling/messages.js";
import * as owners from "./scheduling/owner.js";
import * as progress from "./scheduling/progress.js";
import * as shards from "./scheduling/shards.js";
import type * as upstreams from "./upstreams.js";

/** What a request asks of a pool of model engines. */
export interface PlacementWish {
    readonly requestId: string;
    readonly pool: string;
    readonly workspace: string;
    /** 0 goes first. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly firstTokenDeadline: decision.Milliseconds;
    readonly deadline: decision.Milliseconds;
    /** Whether the content may have crashed an upstream: no two suspects run on one engine at a time. */
    readonly suspect: boolean;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly prefixHashes: readonly string[];
    /** Upstreams that this request must not be placed on again. */
    readonly avoid: readonly string[];
    /** Whether the request was placed before; it then counts against the retry budget. */
    readonly retry?: boolean;
    readonly signal: AbortSignal;
}

/** How the stay at a placement ended. */
export interface PlacementReport {
    readonly outputTokens: number;
    /** Upstreams that failed while they ran the request. */
    readonly failed: readonly string[];
    /** Whether the answer is whole. */
    readonly whole?: boolean;
}

/** Where and when a request runs. */
export interface Placement {
    readonly prefill: upstreams.KnownUpstream;
    readonly decode: upstreams.KnownUpstream;
    /** How long to wait before the prefill starts, in milliseconds. */
    readonly startAfterMs: decision.Milliseconds;
    /** How long the prefill is thought to take; undefined if nobody knows. */
    readonly prefillMs?: decision.Milliseconds;
    /** Tells what was seen of the request on its way. */
    readonly progress?: (seen: progress.PlacementProgress) => void;
    /** Gives the slot back. Only the first call counts. */
    readonly end: (report: PlacementReport) => void;
}

/** Why a request was not placed. */
export enum PlacementRefusal {
    /** It can't be served before its deadline any more. */
    Shed = "shed",
    /** The request went away while it waited. */
    Aborted = "aborted",
}

/** The answer to a placement wish. */
export type PlacementOutcome =
    | { readonly placed: true; readonly placement: Placement; }
    | {
        readonly placed: false;
        readonly refusal: PlacementRefusal;
        readonly retryAfterMs: decision.Milliseconds;
    };

/** Places requests on the engines of the pools. */
export interface Scheduling {
    readonly place: (wish: PlacementWish) => Promise<PlacementOutcome>;
}

/** How often this host looks which shards it owns. */
const OWNERSHIP_PERIOD_MS = 250;
const RETRY_AFTER_MS = 1_000;

/** Starts scheduling. */
export function startScheduling(
    context: contexts.Context,
    configuration: configurations.ConfigurationInForce,
    membership: memberships.Membership,
    known: upstreams.Upstreams,
    links: peers.Peers,
): Scheduling {
    const baseline = baselines.wantedBaseline();
    if (baseline !== undefined) {
        return baselines.startBaseline(baseline, context, configuration, known);
    }
    const shell = new SchedulingShell(context, configuration, membership, known, links);
    return { place: (wish) => shell.place(wish) };
}

function shardKey({ pool, shard }: shards.ShardName): string {
    return `${pool}/${shard}`;
}

function partitionOf({ pool, shard }: shards.ShardName): string {
    return membershipDecisions.poolPartition(pool, shard);
}

/** Owns the shards that are this host's to own, and asks the owners of the others. */
class SchedulingShell {
    private readonly owned = new Map<string, { readonly name: shards.ShardName; readonly owner: owners.ShardOwner; }>();
    private readonly client: clients.ReservationClient;
    private readonly fallback: fallbacks.LocalPlacement;
    private readonly filter = new progress.ProgressFilter();
    private count = 0;

    constructor(
        private readonly context: contexts.Context,
        private readonly configuration: configurations.ConfigurationInForce,
        private readonly membership: memberships.Membership,
        private readonly known: upstreams.Upstreams,
        private readonly links: peers.Peers,
    ) {
        this.client = new clients.ReservationClient(context);
        this.fallback = new fallbacks.LocalPlacement(context, known);
        links.receive("scheduling", (arrival) => this.receive(arrival));
        lifecycle.every(context.scope, OWNERSHIP_PERIOD_MS, () => this.checkOwnership());
        membership.onChange(() => this.keepHolders());
        membership.beforeHandOver(async (partition) => this.handOver(partition));
        configuration.onChange((current) => {
            for (const { name, owner } of this.owned.values()) {
                const settings = shards.schedulerSettings(current.fleet, name.pool);
                if (settings) {
                    owner.settle(settings);
                }
            }
        });
    }

    /** Places a request: by the owner of its shard, or without one if none answers. */
    async place(wish: PlacementWish): Promise<PlacementOutcome> {
        const name = this.shardOf(wish);
        const ask = this.makeAsk(wish);
        const outcome = await this.client.ask(ask, {
            signal: wish.signal,
            deadline: wish.deadline,
            send: () => this.sendToOwner({ kind: messages.ToOwnerKind.Ask, shard: name, ask }),
        });
        const end = (report: PlacementReport) =>
            void this.sendToOwner({
                kind: messages.ToOwnerKind.End,
                shard: name,
                end: { id: ask.id, whole: false, ...report },
            });
        switch (outcome.kind) {
            case clients.OutcomeKind.Aborted:
                end({ outputTokens: 0, failed: [] });
                return { placed: false, refusal: PlacementRefusal.Aborted, retryAfterMs: RETRY_AFTER_MS };
            case clients.OutcomeKind.Unanswered:
                end({ outputTokens: 0, failed: [] });
                return this.placeAlone(wish, name);
            case clients.OutcomeKind.Answered:
                return this.takeAnswer(name, ask, outcome.answer, end);
        }
    }

    private shardOf(wish: PlacementWish): shards.ShardName {
        return { pool: wish.pool, shard: shards.shardOf(wish.requestId, this.known.all(wish.pool).length) };
    }

    private makeAsk(wish: PlacementWish): scheduling.Ask {
        const prefixes = thinPrefixes(wish.prefixHashes);
        return {
            id: `${wish.requestId}#${this.count++}`,
            holder: contexts.holderOf(this.context),
            workspace: wish.workspace,
            priority: wish.priority,
            promptTokens: wish.promptTokens,
            outputTokens: Math.max(1, wish.outputTokens),
            firstTokenDeadline: wish.firstTokenDeadline,
            deadline: wish.deadline,
            suspect: wish.suspect,
            prefixHashes: prefixes.map((prefix) => prefix.hash),
            prefixTokens: prefixes.map((prefix) => prefix.tokens),
            avoid: wish.avoid,
            retry: wish.retry ?? wish.avoid.length > 0,
        };
    }

    private takeAnswer(
        name: shards.ShardName,
        ask: scheduling.Ask,
        answer: messages.FromOwner,
        end: (report: PlacementReport) => void,
    ): PlacementOutcome {
        if (answer.standing === owners.Standing.Refused) {
            return { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: answer.retryAfterMs };
        }
        const prefill = this.known.find(answer.prefill);
        const decode = this.known.find(answer.decode);
        if (!prefill || !decode) {
            // The owner's list is ahead of this host's.
            end({ outputTokens: 0, failed: [] });
            return { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
        }
        const { startAfterMs, prefillMs } = answer;
        const tell = (seen: progress.PlacementProgress) => {
            if (this.ownedShard(name) || this.filter.isTelling(seen, answer)) {
                const told = { id: ask.id, ...seen };
                this.sendToOwner({ kind: messages.ToOwnerKind.Progress, shard: name, progress: told });
            }
        };
        return {
            placed: true,
            placement: { prefill, decode, startAfterMs, prefillMs, progress: tell, end: onlyOnce(end) },
        };
    }

    private async placeAlone(wish: PlacementWish, name: shards.ShardName): Promise<PlacementOutcome> {
        const engines = this.enginesOf(name).filter((engine) => this.isUsable(engine));
        const choice = await this.fallback.choose(engines, wish.avoid);
        if (wish.signal.aborted) {
            return { placed: false, refusal: PlacementRefusal.Aborted, retryAfterMs: RETRY_AFTER_MS };
        }
        return choice
            ? { placed: true, placement: { ...choice, startAfterMs: 0, end: () => undefined } }
            : { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
    }

    private isUsable(engine: upstreams.KnownUpstream): boolean {
        return this.known.takesWork(engine.name);
    }

    private enginesOf(name: shards.ShardName): readonly upstreams.KnownUpstream[] {
        return shards.shardEngines(this.known.all(name.pool), name.shard);
    }

    /** Sends to the owner as known now. Returns false if none is known. */
    private sendToOwner(message: messages.ToOwner): boolean {
        const owner = this.ownedShard(message.shard);
        if (owner) {
            this.takeAsOwner(owner, message, (id, answer) => this.client.take(messages.describeAnswer(id, answer)));
            return true;
        }
        const target = this.membership.ownerOf(partitionOf(message.shard));
        if (!target || target.host === this.context.settings.host) {
            return false;
        }
        const value = messages.encodeToOwner(message, this.context.clock());
        this.links.send(target.host, target.peerAddress, { case: "scheduling", value });
        return true;
    }

    private takeAsOwner(
        owner: owners.ShardOwner,
        message: messages.ToOwner,
        answer: (id: string, answer: owners.OwnerAnswer) => void,
    ): void {
        switch (message.kind) {
            case messages.ToOwnerKind.Ask:
                owner.ask(message.ask, (answered) => answer(message.ask.id, answered));
                break;
            case messages.ToOwnerKind.Progress:
                owner.happen({ kind: scheduling.EventKind.Progress, ...message.progress });
                break;
            case messages.ToOwnerKind.End:
                owner.happen({ kind: scheduling.EventKind.End, ...message.end });
                break;
        }
    }

    private receive(arrival: peers.Arrival): void {
        if (arrival.message.body.case !== "scheduling") {
            return;
        }
        const message = arrival.message.body.value;
        const reply = messages.decodeAnswer(message);
        if (reply) {
            this.client.take(reply);
            return;
        }
        const holder = `${arrival.sender}/${arrival.senderIncarnation}`;
        const request = messages.decodeToOwner(message, holder, this.context.clock());
        if (!request) {
            return;
        }
        const answer = (id: string, answered: owners.OwnerAnswer) => this.reply(arrival.sender, id, answered);
        const owner = this.ownedShard(request.shard);
        if (owner) {
            this.takeAsOwner(owner, request, answer);
        }
        else if (request.kind === messages.ToOwnerKind.Ask) {
            answer(request.ask.id, { standing: owners.Standing.NotOwner });
        }
    }

    private reply(host: string, id: string, answer: owners.OwnerAnswer): void {
        const target = this.membership.roster().find((one) => one.host === host);
        if (target) {
            const value = messages.encodeAnswer(id, answer);
            this.links.send(target.host, target.peerAddress, { case: "scheduling", value });
        }
    }

    /** This host's part as owner of a shard, if it has the right now. */
    private ownedShard(name: shards.ShardName): owners.ShardOwner | undefined {
        const key = shardKey(name);
        const entry = this.owned.get(key);
        if (!this.membership.rightFor(partitionOf(name))) {
            this.disown(key);
            return undefined;
        }
        const fleet = this.configuration.current()?.fleet;
        const settings = fleet && shards.schedulerSettings(fleet, name.pool);
        if (entry || !settings) {
            return entry?.owner;
        }
        const { context, known } = this;
        const owner = new owners.ShardOwner({ context, known, engines: () => this.enginesOf(name) }, settings);
        this.owned.set(key, { name, owner });
        context.log.info({ pool: name.pool, shard: name.shard }, "owns a shard of engines");
        return owner;
    }

    private disown(key: string): void {
        const entry = this.owned.get(key);
        if (entry) {
            this.owned.delete(key);
            void entry.owner.close();
            this.context.log.info({ pool: entry.name.pool, shard: entry.name.shard }, "owns a shard no longer");
        }
    }

    private checkOwnership(): void {
        const fleet = this.configuration.current()?.fleet;
        const names = fleet ? shards.allShards(fleet, (pool) => this.known.all(pool).length) : [];
        const wanted = new Set(names.map(shardKey));
        [...this.owned.keys()].filter((key) => !wanted.has(key)).forEach((key) => this.disown(key));
        names.forEach((name) => this.ownedShard(name));
    }

    private keepHolders(): void {
        const present = new Set(this.membership.roster().map((host) => `${host.host}/${host.incarnation}`));
        present.add(contexts.holderOf(this.context));
        this.owned.forEach(({ owner }) => owner.keepHolders(present));
    }

    private handOver(partition: string): void {
        for (const [key, { name }] of this.owned) {
            if (partitionOf(name) === partition) {
                this.disown(key);
            }
        }
    }
}

function onlyOnce(end: (report: PlacementReport) => void): (report: PlacementReport) => void {
    let ended = false;
    return (report) => {
        if (!ended) {
            ended = true;
            end(report);
        }
    };
}

/** Picks prefixes at doubling lengths, and the longest: few hashes tell nearly as much as all and cost fewer bytes. */
function thinPrefixes(hashes: readonly string[]): readonly { readonly hash: string; readonly tokens: number; }[] {
    return hashes.flatMap((hash, index) => {
        const length = index + 1;
        const kept = length === hashes.length || (length & (length - 1)) === 0;
        return kept ? [{ hash, tokens: length * shards.PREFIX_TOKENS }] : [];
    });
}
