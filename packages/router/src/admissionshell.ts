import * as admission from "@citronlead/admission";
import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as membershipDecisions from "@citronlead/membership";
import * as codec from "./admissionmessages.js";
import * as admissionMetrics from "./admissionmetrics.js";
import * as outboxes from "./admissionoutbox.js";
import * as rights from "./admissionrights.js";
import * as wakeUps from "./admissionwakeups.js";
import type * as configurations from "./configurationshell.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";

/** What a request asks of its workspace's rate. */
export interface ChargeWish {
    readonly requestId: string;
    readonly workspace: string;
    /** An upper bound of what the request will use, in tokens. */
    readonly tokens: number;
    /** When the request must have its answer, on this process's clock. */
    readonly deadline: decision.Milliseconds;
    readonly signal: AbortSignal;
}

/** The answer to a charge. */
export type Charge =
    | {
        readonly granted: true;
        /** Gives back what was charged beyond what was used, in tokens. Only the first call counts. */
        readonly settle: (usedTokens: number) => void;
    }
    | {
        readonly granted: false;
        /** When the charge would fit, in milliseconds; undefined if it never will. */
        readonly retryAfterMs: decision.Milliseconds | undefined;
    };

/** Keeps every workspace within its rate and burst over all hosts. */
export interface Admission {
    /** Charges a request, waiting while it can still be in time. */
    readonly charge: (wish: ChargeWish) => Promise<Charge>;
}

type Answered = (answer: admission.Answer) => void;

/** Starts admission. */
export function startAdmission(
    context: contexts.Context,
    configurationInForce: configurations.ConfigurationInForce,
    membership: memberships.Membership,
    links: peers.Peers,
): Admission {
    const shell = new AdmissionShell(context, membership, links);
    configurationInForce.onChange((current) => shell.applyConfiguration(current));
    const current = configurationInForce.current();
    if (current) {
        shell.applyConfiguration(current);
    }
    links.receive("admission", (arrival) => shell.receive(arrival));
    membership.beforeHandOver((partition, next) => shell.handOver(partition, next));
    rights.followRights(
        context,
        membership,
        (partition, right, floorRevision) =>
            shell.feed({ kind: admission.EventKind.Own, partition, right, floorRevision }),
    );
    return { charge: (wish) => shell.charge(wish) };
}

/** Turns traffic into events of the admission module and its actions into traffic. */
class AdmissionShell {
    private state: admission.State;
    private readonly pending: admission.Event[] = [];
    private running = false;
    private readonly wakeUps: wakeUps.WakeUps;
    private readonly metrics: admissionMetrics.AdmissionMetrics;
    private readonly outbox: outboxes.AdmissionOutbox;
    private readonly answers = new Map<string, Answered>();
    private readonly handedOver = new Map<string, () => void>();
    private chargeCount = 0;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        private readonly links: peers.Peers,
    ) {
        this.state = admission.start({ host: context.settings.host });
        this.metrics = admissionMetrics.makeAdmissionMetrics(context.metrics);
        this.outbox = outboxes.makeOutbox(context.scope, (target, message) => {
            this.metrics.noteMessage(message);
            this.links.send(target.host, target.peerAddress, codec.encodeMessage(message));
        });
        this.wakeUps = wakeUps.makeWakeUps(context.scope, context.clock, (subject) => {
            const right = admission.isSlicePartition(subject) ? membership.rightFor(subject) : undefined;
            this.feed({ kind: admission.EventKind.Wake, subject, right });
        });
    }

    /** Feeds an event and carries out what it leads to. What that leads to at this host is fed in turn. */
    feed(event: admission.Event): void {
        this.pending.push(event);
        if (this.running) {
            return;
        }
        this.running = true;
        try {
            for (let next = this.pending.shift(); next; next = this.pending.shift()) {
                const decided = admission.decide(this.state, next, this.context.clock());
                this.state = decided.state;
                decided.actions.forEach((action) => this.carryOut(action));
            }
        }
        finally {
            this.running = false;
        }
    }

    private carryOut(action: admission.Action): void {
        switch (action.kind) {
            case admission.ActionKind.Send:
                this.send(action);
                break;
            case admission.ActionKind.Answer:
                this.answers.get(action.requestId)?.(action);
                this.answers.delete(action.requestId);
                break;
            case admission.ActionKind.WakeAt:
                this.wakeUps.set(action.subject, action.at);
                break;
            case admission.ActionKind.Record:
                this.metrics.noteRecord(action);
                break;
            case admission.ActionKind.HandedOver:
                this.handedOver.get(action.partition)?.();
                this.handedOver.delete(action.partition);
                break;
            default:
                decision.unreachable(action);
        }
    }

    private send({ to, message }: admission.Send): void {
        const target = "host" in to
            ? this.membership.roster().find((host) => host.host === to.host)
            : this.membership.ownerOf(to.partition);
        const own = this.context.settings.host;
        if ("host" in to ? to.host === own : target?.host === own) {
            this.takeMessage(own, message);
        }
        else if (target) {
            this.outbox.send(target, message);
        }
    }

    receive(arrival: peers.Arrival): void {
        const { body } = arrival.message;
        const message = body.case === "admission" ? codec.decodeMessage(body.value) : undefined;
        if (message) {
            this.takeMessage(arrival.sender, message);
        }
    }

    private takeMessage(from: string, message: admission.Message): void {
        const partition = admission.partitionOf(message);
        const right = partition === undefined ? undefined : this.membership.rightFor(partition);
        this.feed({ kind: admission.EventKind.Message, from, message, right });
    }

    applyConfiguration(current: configuration.Configuration): void {
        const entries = Object.values(current.fleet.profiles).flatMap((profile) => Object.entries(profile.workspaces));
        const workspaces = Object.fromEntries(
            entries.map(([workspace, { tokensPerSecond, burstTokens }]) => [
                workspace,
                { tokensPerSecond, burstTokens },
            ]),
        );
        this.feed({ kind: admission.EventKind.Configuration, revision: current.revision, workspaces });
    }

    /** Sends the levels of a partition to its next owner. Resolves once nothing lent from it can be spent any more. */
    handOver(partition: string, next: memberships.RosterHost): Promise<void> {
        return new Promise((resolve) => {
            this.handedOver.set(partition, resolve);
            this.feed({ kind: admission.EventKind.HandOver, partition, nextHost: next.host });
        });
    }

    charge(wish: ChargeWish): Promise<Charge> {
        if (wish.signal.aborted) {
            return Promise.resolve({ granted: false, retryAfterMs: decision.SECOND_MS });
        }
        // Callers may name their requests alike; charges must differ.
        const requestId = `${this.context.incarnation}/${++this.chargeCount}`;
        const leave = () => this.feed({ kind: admission.EventKind.Leave, requestId });
        return new Promise((resolve) => {
            this.answers.set(requestId, (answer) => {
                wish.signal.removeEventListener("abort", leave);
                resolve(this.describe(answer));
            });
            wish.signal.addEventListener("abort", leave, { once: true });
            this.feed({
                kind: admission.EventKind.Wish,
                requestId,
                workspace: wish.workspace,
                tokens: wish.tokens,
                deadline: wish.deadline,
                order: admission.orderSlices(requestId, (slice) => this.nearness(wish.workspace, slice)),
            });
        });
    }

    private describe({ granted, requestId, retryAfterMs }: admission.Answer): Charge {
        return granted
            ? {
                granted,
                settle: (usedTokens) => this.feed({ kind: admission.EventKind.Settle, requestId, usedTokens }),
            }
            : { granted, retryAfterMs: retryAfterMs < 0 ? undefined : retryAfterMs };
    }

    private nearness(workspace: string, slice: number): admission.Nearness {
        const owner = this.membership.ownerOf(membershipDecisions.slicePartition(workspace, slice));
        const { host, availabilityZone } = this.context.settings;
        if (!owner) {
            return admission.Nearness.Nowhere;
        }
        if (owner.host === host) {
            return admission.Nearness.SameHost;
        }
        return owner.availabilityZone === availabilityZone
            ? admission.Nearness.SameAvailabilityZone
            : admission.Nearness.Elsewhere;
    }
}
