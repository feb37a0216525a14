import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as scheduling from "@citronlead/scheduling";
import type * as configurations from "../configuration/shell.js";
import * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as peers from "../peers/transport.js";
import type * as upstreams from "../upstreams.js";
import * as baselines from "./baseline.js";
import * as clients from "./client.js";
import * as fallbacks from "./fallback.js";
import * as messages from "./messages.js";
import * as owners from "./owner.js";
import * as progress from "./progress.js";
import * as shards from "./shards.js";

/** A request to be placed on the engines of a pool. */
export interface PlacementRequest {
    readonly requestId: string;
    readonly pool: string;
    readonly workspace: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly firstTokenDeadline: decision.Milliseconds;
    readonly deadline: decision.Milliseconds;
    /** Whether the content may have crashed an upstream. An engine runs at most one suspect request at a time. */
    readonly suspect: boolean;
    /** Hashes of the prompt's prefixes, shortest first. */
    readonly prefixHashes: readonly string[];
    /** Names of upstreams that this request must not be placed on. */
    readonly avoid: readonly string[];
    /** Whether the request was placed before and so counts against the retry budget. */
    readonly retry?: boolean;
    readonly signal: AbortSignal;
}

/** How the run of a request at its placement ended. */
export interface PlacementEnd {
    readonly outputTokens: number;
    /** Names of upstreams that failed while they ran the request. */
    readonly failed: readonly string[];
    /** Whether the response is complete. */
    readonly whole?: boolean;
}

/** Where and when a request runs. */
export interface Placement {
    readonly prefill: upstreams.KnownUpstream;
    readonly decode: upstreams.KnownUpstream;
    /** How long to wait before starting the prefill. */
    readonly startAfterMs: decision.Milliseconds;
    /** How long the prefill is expected to take; undefined without an owner's estimate. */
    readonly prefillMs?: decision.Milliseconds;
    /** Reports measurements of the request while it runs. */
    readonly reportProgress?: (seen: progress.PlacementProgress) => void;
    /** Ends the reservation. Calls after the first have no effect. */
    readonly end: (end: PlacementEnd) => void;
}

/** Why a request was not placed. */
export enum PlacementRefusal {
    /** It can no longer be served before its deadline. */
    Shed = "shed",
    /** The request was aborted while it waited. */
    Aborted = "aborted",
}

/** The outcome of a placement request. */
export type PlacementOutcome =
    | { readonly placed: true; readonly placement: Placement; }
    | {
        readonly placed: false;
        readonly refusal: PlacementRefusal;
        readonly retryAfterMs: decision.Milliseconds;
    };

/** Places requests on the engines of the pools. */
export interface Scheduling {
    readonly place: (request: PlacementRequest) => Promise<PlacementOutcome>;
}

/** How often this host checks which shards it owns. */
const OWNERSHIP_PERIOD_MS = 250;
const RETRY_AFTER_MS = 1_000;

/** Starts scheduling, by a baseline policy if the environment selects one. */
export function startScheduling(
    context: contexts.Context,
    configuration: configurations.ConfigurationInForce,
    membership: memberships.Membership,
    upstreamList: upstreams.Upstreams,
    transport: peers.PeerTransport,
): Scheduling {
    const baseline = baselines.baselineFromEnvironment();
    if (baseline !== undefined) {
        return baselines.startBaseline(baseline, context, configuration, upstreamList);
    }
    const shell = new SchedulingShell(context, configuration, membership, upstreamList, transport);
    return { place: (request) => shell.place(request) };
}

function shardKey({ pool, shard }: shards.ShardName): string {
    return `${pool}/${shard}`;
}

function partitionOf({ pool, shard }: shards.ShardName): string {
    return membershipDecisions.poolPartition(pool, shard);
}

/** Runs the scheduler for the shards that this host owns, and sends requests for the others to their owners. */
class SchedulingShell {
    private readonly owned = new Map<string, { readonly name: shards.ShardName; readonly owner: owners.ShardOwner; }>();
    private readonly client: clients.ReservationClient;
    private readonly fallback: fallbacks.LocalPlacement;
    private readonly progressFilter = new progress.ProgressFilter();
    private reservationCount = 0;

    constructor(
        private readonly context: contexts.Context,
        private readonly configuration: configurations.ConfigurationInForce,
        private readonly membership: memberships.Membership,
        private readonly upstreamList: upstreams.Upstreams,
        private readonly transport: peers.PeerTransport,
    ) {
        this.client = new clients.ReservationClient(context);
        this.fallback = new fallbacks.LocalPlacement(context, upstreamList);
        transport.onMessage("scheduling", (received) => this.receive(received));
        lifecycle.every(context.scope, OWNERSHIP_PERIOD_MS, () => this.updateOwnership());
        membership.onChange(() => this.endAbsentHolders());
        membership.beforeHandOver(async (partition) => this.handOver(partition));
        configuration.onChange((current) => {
            for (const { name, owner } of this.owned.values()) {
                const settings = shards.schedulerSettings(current.fleet, name.pool);
                if (settings) {
                    owner.updateSettings(settings);
                }
            }
        });
    }

    /** Places a request through the owner of its shard, or without an owner if none answers. */
    async place(request: PlacementRequest): Promise<PlacementOutcome> {
        const name = this.shardOf(request);
        const reservation = this.makeReservationRequest(request);
        const outcome = await this.client.reserve(reservation, {
            signal: request.signal,
            deadline: request.deadline,
            send: () =>
                this.sendToOwner({ kind: messages.OwnerMessageKind.Request, shard: name, request: reservation }),
        });
        const end = (placementEnd: PlacementEnd) =>
            void this.sendToOwner({
                kind: messages.OwnerMessageKind.End,
                shard: name,
                end: { id: reservation.id, whole: false, ...placementEnd },
            });
        switch (outcome.kind) {
            case clients.OutcomeKind.Aborted:
                end({ outputTokens: 0, failed: [] });
                return { placed: false, refusal: PlacementRefusal.Aborted, retryAfterMs: RETRY_AFTER_MS };
            case clients.OutcomeKind.Unanswered:
                end({ outputTokens: 0, failed: [] });
                return this.placeWithoutOwner(request, name);
            case clients.OutcomeKind.Answered:
                return this.handleAnswer(name, reservation, outcome.answer, end);
        }
    }

    private shardOf(request: PlacementRequest): shards.ShardName {
        return {
            pool: request.pool,
            shard: shards.shardOf(request.requestId, this.upstreamList.all(request.pool).length),
        };
    }

    private makeReservationRequest(request: PlacementRequest): scheduling.ReservationRequest {
        const prefixes = samplePrefixes(request.prefixHashes);
        return {
            id: `${request.requestId}#${this.reservationCount++}`,
            holder: contexts.memoryHolderName(this.context),
            workspace: request.workspace,
            priority: request.priority,
            promptTokens: request.promptTokens,
            outputTokens: Math.max(1, request.outputTokens),
            firstTokenDeadline: request.firstTokenDeadline,
            deadline: request.deadline,
            suspect: request.suspect,
            prefixHashes: prefixes.map((prefix) => prefix.hash),
            prefixTokens: prefixes.map((prefix) => prefix.tokens),
            avoid: request.avoid,
            retry: request.retry ?? request.avoid.length > 0,
        };
    }

    private handleAnswer(
        name: shards.ShardName,
        reservation: scheduling.ReservationRequest,
        answer: messages.ReceivedAnswer,
        end: (placementEnd: PlacementEnd) => void,
    ): PlacementOutcome {
        if (answer.status === owners.ReservationStatus.Refused) {
            return { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: answer.retryAfterMs };
        }
        const prefill = this.upstreamList.find(answer.prefill);
        const decode = this.upstreamList.find(answer.decode);
        if (!prefill || !decode) {
            // The owner has a newer list of upstreams than this host.
            end({ outputTokens: 0, failed: [] });
            return { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
        }
        const { startAfterMs, prefillMs } = answer;
        const reportProgress = (seen: progress.PlacementProgress) => {
            if (this.ensureOwner(name) || this.progressFilter.shouldSend(seen, answer)) {
                const report = { id: reservation.id, ...seen };
                this.sendToOwner({ kind: messages.OwnerMessageKind.Progress, shard: name, progress: report });
            }
        };
        return {
            placed: true,
            placement: { prefill, decode, startAfterMs, prefillMs, reportProgress, end: once(end) },
        };
    }

    private async placeWithoutOwner(request: PlacementRequest, name: shards.ShardName): Promise<PlacementOutcome> {
        const engines = this.enginesOf(name).filter((engine) => this.isUsable(engine));
        const choice = await this.fallback.choose(engines, request.avoid);
        if (request.signal.aborted) {
            return { placed: false, refusal: PlacementRefusal.Aborted, retryAfterMs: RETRY_AFTER_MS };
        }
        return choice
            ? { placed: true, placement: { ...choice, startAfterMs: 0, end: () => undefined } }
            : { placed: false, refusal: PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
    }

    private isUsable(engine: upstreams.KnownUpstream): boolean {
        return this.upstreamList.isUsable(engine.name);
    }

    private enginesOf(name: shards.ShardName): readonly upstreams.KnownUpstream[] {
        return shards.shardEngines(this.upstreamList.all(name.pool), name.shard);
    }

    /** Sends a message to the shard's current owner, which may be this host. Returns false if none is known. */
    private sendToOwner(message: messages.OwnerMessage): boolean {
        const owner = this.ensureOwner(message.shard);
        if (owner) {
            this.handleAsOwner(
                owner,
                message,
                (id, answer) => this.client.handleAnswer(messages.toReceivedAnswer(id, answer)),
            );
            return true;
        }
        const target = this.membership.ownerOf(partitionOf(message.shard));
        if (!target || target.host === this.context.settings.host) {
            return false;
        }
        const value = messages.encodeOwnerMessage(message, this.context.clock());
        this.transport.send(target.host, target.peerAddress, { case: "scheduling", value });
        return true;
    }

    private handleAsOwner(
        owner: owners.ShardOwner,
        message: messages.OwnerMessage,
        sendAnswer: (id: string, answer: owners.OwnerAnswer) => void,
    ): void {
        switch (message.kind) {
            case messages.OwnerMessageKind.Request:
                owner.reserve(message.request, (answer) => sendAnswer(message.request.id, answer));
                break;
            case messages.OwnerMessageKind.Progress:
                owner.dispatch({ kind: scheduling.EventKind.Progress, ...message.progress });
                break;
            case messages.OwnerMessageKind.End:
                owner.dispatch({ kind: scheduling.EventKind.End, ...message.end });
                break;
        }
    }

    private receive(received: peers.ReceivedMessage): void {
        if (received.message.body.case !== "scheduling") {
            return;
        }
        const body = received.message.body.value;
        const answer = messages.decodeAnswer(body);
        if (answer) {
            this.client.handleAnswer(answer);
            return;
        }
        const holder = `${received.sender}/${received.senderIncarnation}`;
        const message = messages.decodeOwnerMessage(body, holder, this.context.clock());
        if (!message) {
            return;
        }
        const sendAnswer = (id: string, ownerAnswer: owners.OwnerAnswer) =>
            this.reply(received.sender, id, ownerAnswer);
        const owner = this.ensureOwner(message.shard);
        if (owner) {
            this.handleAsOwner(owner, message, sendAnswer);
        }
        else if (message.kind === messages.OwnerMessageKind.Request) {
            sendAnswer(message.request.id, { status: owners.ReservationStatus.NotOwner });
        }
    }

    private reply(host: string, id: string, answer: owners.OwnerAnswer): void {
        const target = this.membership.roster().find((candidate) => candidate.host === host);
        if (target) {
            const value = messages.encodeAnswer(id, answer);
            this.transport.send(target.host, target.peerAddress, { case: "scheduling", value });
        }
    }

    /**
     * Returns the owner object of a shard, or undefined if this host does not hold the right to act for it now. Creates
     * the object once the right is gained, and releases the shard once the right is lost.
     */
    private ensureOwner(name: shards.ShardName): owners.ShardOwner | undefined {
        const key = shardKey(name);
        const entry = this.owned.get(key);
        if (!this.membership.rightFor(partitionOf(name))) {
            this.releaseShard(key);
            return undefined;
        }
        const fleet = this.configuration.current()?.fleet;
        const settings = fleet && shards.schedulerSettings(fleet, name.pool);
        if (entry || !settings) {
            return entry?.owner;
        }
        const { context, upstreamList } = this;
        const owner = new owners.ShardOwner({ context, upstreamList, engines: () => this.enginesOf(name) }, settings);
        this.owned.set(key, { name, owner });
        context.log.info({ pool: name.pool, shard: name.shard }, "became owner of a shard");
        return owner;
    }

    private releaseShard(key: string): void {
        const entry = this.owned.get(key);
        if (entry) {
            this.owned.delete(key);
            void entry.owner.close();
            this.context.log.info({ pool: entry.name.pool, shard: entry.name.shard }, "no longer owner of a shard");
        }
    }

    private updateOwnership(): void {
        const fleet = this.configuration.current()?.fleet;
        const shardNames = fleet ? shards.allShards(fleet, (pool) => this.upstreamList.all(pool).length) : [];
        const wanted = new Set(shardNames.map(shardKey));
        [...this.owned.keys()].filter((key) => !wanted.has(key)).forEach((key) => this.releaseShard(key));
        shardNames.forEach((name) => this.ensureOwner(name));
    }

    private endAbsentHolders(): void {
        const present = new Set(this.membership.roster().map((host) => `${host.host}/${host.incarnation}`));
        present.add(contexts.memoryHolderName(this.context));
        this.owned.forEach(({ owner }) => owner.endAbsentHolders(present));
    }

    private handOver(partition: string): void {
        for (const [key, { name }] of this.owned) {
            if (partitionOf(name) === partition) {
                this.releaseShard(key);
            }
        }
    }
}

function once(end: (placementEnd: PlacementEnd) => void): (placementEnd: PlacementEnd) => void {
    let ended = false;
    return (placementEnd) => {
        if (!ended) {
            ended = true;
            end(placementEnd);
        }
    };
}

/** Keeps prefixes at doubling lengths, and the longest: they tell nearly as much as all of them, in fewer bytes. */
function samplePrefixes(hashes: readonly string[]): readonly { readonly hash: string; readonly tokens: number; }[] {
    return hashes.flatMap((hash, index) => {
        const length = index + 1;
        const sampled = length === hashes.length || (length & (length - 1)) === 0;
        return sampled ? [{ hash, tokens: length * shards.PREFIX_STEP_TOKENS }] : [];
    });
}
