import * as admission from "@citronlead/admission";
import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import type * as configurations from "../configuration/shell.js";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as peers from "../peers/transport.js";
import * as messages from "./messages.js";
import * as admissionMetrics from "./metrics.js";
import * as outboxes from "./outbox.js";
import * as ownership from "./ownership.js";
import * as wakeUps from "./wakeups.js";

/** A request for tokens from its workspace's rate. */
export interface ChargeRequest {
    readonly requestId: string;
    readonly workspace: string;
    /** Upper bound on the tokens that the request will use. */
    readonly tokens: number;
    /** When the request must have its answer, on the clock of this process. */
    readonly deadline: decision.Milliseconds;
    readonly signal: AbortSignal;
}

/** The answer to a charge. */
export type Charge =
    | {
        readonly granted: true;
        /** Refunds what was charged beyond the tokens used. Only the first call has an effect. */
        readonly settle: (usedTokens: number) => void;
    }
    | {
        readonly granted: false;
        /** How long until the charge would fit; undefined if it never will. */
        readonly retryAfterMs: decision.Milliseconds | undefined;
    };

/** Limits each workspace to its rate and burst across all hosts. */
export interface Admission {
    /** Charges a request. Waits for tokens as long as the deadline can still be met. */
    readonly charge: (request: ChargeRequest) => Promise<Charge>;
}

/** Extra wait at the end of a hand-over, so that the slice levels reach the next owner before its term starts. */
const HAND_OVER_DELAY_MS = 40;

type AnswerCallback = (answer: admission.Answer) => void;

/** Starts admission. */
export function startAdmission(
    context: contexts.Context,
    configurationInForce: configurations.ConfigurationInForce,
    membership: memberships.Membership,
    transport: peers.PeerTransport,
): Admission {
    const shell = new AdmissionShell(context, membership, transport);
    configurationInForce.onChange((current) => shell.applyConfiguration(current));
    const current = configurationInForce.current();
    if (current) {
        shell.applyConfiguration(current);
    }
    transport.onMessage("admission", (arrival) => shell.receive(arrival));
    membership.beforeHandOver((partition, next) => shell.handOver(partition, next));
    ownership.followSliceOwnership(
        context,
        membership,
        (partition, right, floorRevision) =>
            shell.dispatch({ kind: admission.EventKind.OwnershipGained, partition, right, floorRevision }),
    );
    return { charge: (request) => shell.charge(request) };
}

/** Feeds requests, messages and wake-ups to the admission module as events, and carries out its actions. */
class AdmissionShell {
    private state: admission.State;
    private readonly eventQueue: admission.Event[] = [];
    private processingEvents = false;
    private readonly wakeUps: wakeUps.WakeUps;
    private readonly metrics: admissionMetrics.AdmissionMetrics;
    private readonly outbox: outboxes.AdmissionOutbox;
    private readonly answerCallbacks = new Map<string, AnswerCallback>();
    private readonly handOverCallbacks = new Map<string, () => void>();
    private chargeCount = 0;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        private readonly transport: peers.PeerTransport,
    ) {
        this.state = admission.start({ host: context.settings.host });
        this.metrics = admissionMetrics.makeAdmissionMetrics(context.metrics);
        this.outbox = outboxes.makeOutbox(context.scope, (target, message) => {
            this.metrics.countSentMessage(message);
            this.transport.send(target.host, target.peerAddress, messages.encodeMessage(message));
        });
        this.wakeUps = wakeUps.makeWakeUps(context.scope, context.clock, (subject) => {
            const right = admission.isSlicePartition(subject) ? membership.rightFor(subject) : undefined;
            this.dispatch({ kind: admission.EventKind.Wake, subject, right });
        });
    }

    /** Processes an event and the resulting actions. Events raised by an action are queued and processed afterwards. */
    dispatch(event: admission.Event): void {
        this.eventQueue.push(event);
        if (this.processingEvents) {
            return;
        }
        this.processingEvents = true;
        try {
            for (let next = this.eventQueue.shift(); next; next = this.eventQueue.shift()) {
                const decided = admission.decide(this.state, next, this.context.clock());
                this.state = decided.state;
                decided.actions.forEach((action) => this.carryOut(action));
            }
        }
        finally {
            this.processingEvents = false;
        }
    }

    private carryOut(action: admission.Action): void {
        switch (action.kind) {
            case admission.ActionKind.Send:
                this.send(action);
                break;
            case admission.ActionKind.Answer:
                this.answerCallbacks.get(action.requestId)?.(action);
                this.answerCallbacks.delete(action.requestId);
                break;
            case admission.ActionKind.WakeAt:
                this.wakeUps.set(action.subject, action.at);
                break;
            case admission.ActionKind.Record:
                this.metrics.countTokens(action);
                break;
            case admission.ActionKind.HandedOver:
                this.handOverCallbacks.get(action.partition)?.();
                this.handOverCallbacks.delete(action.partition);
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
            this.handleMessage(own, message);
        }
        else if (target) {
            this.outbox.send(target, message);
        }
    }

    receive(arrival: peers.ReceivedMessage): void {
        const { body } = arrival.message;
        const message = body.case === "admission" ? messages.decodeMessage(body.value) : undefined;
        if (message) {
            this.handleMessage(arrival.sender, message);
        }
    }

    private handleMessage(from: string, message: admission.Message): void {
        const partition = admission.partitionOf(message);
        const right = partition === undefined ? undefined : this.membership.rightFor(partition);
        this.dispatch({ kind: admission.EventKind.Message, from, message, right });
    }

    applyConfiguration(current: configuration.Configuration): void {
        const entries = Object.values(current.fleet.profiles).flatMap((profile) => Object.entries(profile.workspaces));
        const workspaces = Object.fromEntries(
            entries.map(([workspace, { tokensPerSecond, burstTokens }]) => [
                workspace,
                { tokensPerSecond, burstTokens },
            ]),
        );
        this.dispatch({ kind: admission.EventKind.Configuration, revision: current.revision, workspaces });
    }

    /**
     * Sends the slice levels of a partition to its next owner. Resolves once tokens that were lent from it can no
     * longer be spent, and the levels have had time to arrive.
     */
    async handOver(partition: string, next: memberships.RosterHost): Promise<void> {
        await new Promise<void>((resolve) => {
            this.handOverCallbacks.set(partition, resolve);
            this.dispatch({ kind: admission.EventKind.HandOver, partition, nextHost: next.host });
        });
        await lifecycle.pause(this.context.scope, HAND_OVER_DELAY_MS);
    }

    charge(request: ChargeRequest): Promise<Charge> {
        if (request.signal.aborted) {
            return Promise.resolve({ granted: false, retryAfterMs: decision.SECOND_MS });
        }
        // Callers may reuse request ids, so charges get ids of their own.
        const requestId = `${this.context.incarnation}/${++this.chargeCount}`;
        const cancel = () => this.dispatch({ kind: admission.EventKind.Cancel, requestId });
        return new Promise((resolve) => {
            this.answerCallbacks.set(requestId, (answer) => {
                request.signal.removeEventListener("abort", cancel);
                resolve(this.toCharge(answer));
            });
            request.signal.addEventListener("abort", cancel, { once: true });
            this.dispatch({
                kind: admission.EventKind.AdmissionRequest,
                requestId,
                workspace: request.workspace,
                tokens: request.tokens,
                deadline: request.deadline,
                order: admission.orderSlices(requestId, (slice) => this.nearness(request.workspace, slice)),
            });
        });
    }

    private toCharge({ granted, requestId, retryAfterMs }: admission.Answer): Charge {
        return granted
            ? {
                granted,
                settle: (usedTokens) => this.dispatch({ kind: admission.EventKind.Settle, requestId, usedTokens }),
            }
            : { granted, retryAfterMs: retryAfterMs < 0 ? undefined : retryAfterMs };
    }

    private nearness(workspace: string, slice: number): admission.Proximity {
        const owner = this.membership.ownerOf(membershipDecisions.slicePartition(workspace, slice));
        const { host, availabilityZone } = this.context.settings;
        if (!owner) {
            return admission.Proximity.Unknown;
        }
        if (owner.host === host) {
            return admission.Proximity.SameHost;
        }
        return owner.availabilityZone === availabilityZone
            ? admission.Proximity.SameAvailabilityZone
            : admission.Proximity.Elsewhere;
    }
}
