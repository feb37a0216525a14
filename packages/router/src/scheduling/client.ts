import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as scheduling from "@citronlead/scheduling";
import type * as contexts from "../context.js";
import type * as messages from "./messages.js";
import * as owners from "./owner.js";

/** The outcome of a reservation request. */
export type ReservationOutcome =
    | { readonly kind: OutcomeKind.Answered; readonly answer: messages.ReceivedAnswer; }
    /** No grant or refusal by the retry limit or the deadline. The request is then placed without an owner. */
    | { readonly kind: OutcomeKind.Unanswered; }
    | { readonly kind: OutcomeKind.Aborted; };

export enum OutcomeKind {
    Answered = "answered",
    Unanswered = "unanswered",
    Aborted = "aborted",
}

/** How a reservation request is sent and when to stop waiting for an answer. */
export interface ReservationOptions {
    /** Sends the request to the current owner of the shard. Returns false if none is known. */
    readonly send: () => boolean;
    readonly signal: AbortSignal;
    readonly deadline: decision.Milliseconds;
}

/** How long to wait for an answer before the request is sent again. */
const RETRY_INTERVAL_MS = 300;
/** How often a request that the owner has queued is sent again, to learn whether the owner still has it. */
const QUEUED_POLL_INTERVAL_MS = 1_000;
/** After this many requests in a row without a grant, refusal or queueing, the owner counts as unreachable. */
const UNANSWERED_LIMIT = 3;

interface PendingReservation {
    readonly settle: (outcome: ReservationOutcome) => void;
    readonly onInterimAnswer: (status: owners.ReservationStatus) => void;
}

/** Requests reservations from shard owners. Retries unanswered requests until their deadline. */
export class ReservationClient {
    private readonly pending = new Map<string, PendingReservation>();

    constructor(private readonly context: contexts.Context) {}

    /**
     * Sends a request until it is granted or refused, the owner counts as unreachable, the deadline passes or the
     * signal aborts.
     */
    reserve(request: scheduling.ReservationRequest, options: ReservationOptions): Promise<ReservationOutcome> {
        return new Promise((resolve) => {
            const scope = this.context.scope.child("reservation");
            const settle = (outcome: ReservationOutcome) => {
                if (this.pending.delete(request.id)) {
                    options.signal.removeEventListener("abort", onAbort);
                    void scope.close();
                    resolve(outcome);
                }
            };
            const onAbort = () => settle({ kind: OutcomeKind.Aborted });
            let unanswered = 0;
            let cancelRetry: () => void = () => undefined;
            const scheduleRetry = (delayMs: decision.Milliseconds) => {
                cancelRetry();
                cancelRetry = lifecycle.after(scope, delayMs, tryOnce);
            };
            const tryOnce = () => {
                if (unanswered >= UNANSWERED_LIMIT || this.context.clock() >= options.deadline) {
                    settle({ kind: OutcomeKind.Unanswered });
                    return;
                }
                unanswered++;
                scheduleRetry(RETRY_INTERVAL_MS);
                options.send();
            };
            const onInterimAnswer = (status: owners.ReservationStatus) => {
                unanswered = status === owners.ReservationStatus.Waiting ? 0 : unanswered;
                scheduleRetry(
                    status === owners.ReservationStatus.Waiting ? QUEUED_POLL_INTERVAL_MS : RETRY_INTERVAL_MS,
                );
            };
            this.pending.set(request.id, { settle, onInterimAnswer });
            options.signal.addEventListener("abort", onAbort, { once: true });
            if (options.signal.aborted) {
                onAbort();
                return;
            }
            tryOnce();
        });
    }

    /** Handles an owner's answer. One to an abandoned request is dropped: its reservation was ended already. */
    handleAnswer(answer: messages.ReceivedAnswer): void {
        const pending = this.pending.get(answer.id);
        if (!pending) {
            return;
        }
        if (answer.status === owners.ReservationStatus.Granted || answer.status === owners.ReservationStatus.Refused) {
            pending.settle({ kind: OutcomeKind.Answered, answer });
        }
        else {
            pending.onInterimAnswer(answer.status);
        }
    }
}
