import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as scheduling from "@citronlead/scheduling";
import type * as contexts from "../context.js";
import type * as messages from "./messages.js";
import * as owners from "./owner.js";

/** How a reservation that was asked for turned out. */
export type ReservationOutcome =
    | { readonly kind: OutcomeKind.Answered; readonly answer: messages.FromOwner; }
    /** Nobody who could decide has answered; the request is placed without an owner, or given up at its deadline. */
    | { readonly kind: OutcomeKind.Unanswered; }
    | { readonly kind: OutcomeKind.Aborted; };

/** The kinds of outcome. */
export enum OutcomeKind {
    Answered = "answered",
    Unanswered = "unanswered",
    Aborted = "aborted",
}

/** How a reservation is asked for. */
export interface ReservationCalls {
    /** Sends the wish to the owner of the shard as known now. Returns false if none is known. */
    readonly send: () => boolean;
    readonly signal: AbortSignal;
    readonly deadline: decision.Milliseconds;
}

/** An owner that has not answered by then is asked again. */
const FIRST_ANSWER_MS = 300;
/** An owner that said that the request waits is asked so often whether it still does. */
const WAITING_ANSWER_MS = 1_000;
/** So many wishes in a row without an answer, and the owner is taken for out of reach. */
const UNANSWERED_LIMIT = 3;

interface Open {
    readonly settle: (outcome: ReservationOutcome) => void;
    readonly heard: (standing: owners.Standing) => void;
}

/** Asks owners of shards for reservations, again where no answer comes, never beyond the deadline. */
export class ReservationClient {
    private readonly open = new Map<string, Open>();

    constructor(private readonly context: contexts.Context) {}

    /** Asks until an answer comes, the owner is taken for out of reach, the deadline passes or the signal aborts. */
    ask(ask: scheduling.Ask, calls: ReservationCalls): Promise<ReservationOutcome> {
        return new Promise((resolve) => {
            const scope = this.context.scope.child("reservation");
            const settle = (outcome: ReservationOutcome) => {
                if (this.open.delete(ask.id)) {
                    calls.signal.removeEventListener("abort", onAbort);
                    void scope.close();
                    resolve(outcome);
                }
            };
            const onAbort = () => settle({ kind: OutcomeKind.Aborted });
            let unanswered = 0;
            let cancel: () => void = () => undefined;
            const again = (delayMs: decision.Milliseconds) => {
                cancel();
                cancel = lifecycle.after(scope, delayMs, tryOnce);
            };
            const tryOnce = () => {
                if (unanswered >= UNANSWERED_LIMIT || this.context.clock() >= calls.deadline) {
                    settle({ kind: OutcomeKind.Unanswered });
                    return;
                }
                unanswered++;
                again(FIRST_ANSWER_MS);
                calls.send();
            };
            const heard = (standing: owners.Standing) => {
                unanswered = standing === owners.Standing.Waiting ? 0 : unanswered;
                again(standing === owners.Standing.Waiting ? WAITING_ANSWER_MS : FIRST_ANSWER_MS);
            };
            this.open.set(ask.id, { settle, heard });
            calls.signal.addEventListener("abort", onAbort, { once: true });
            if (calls.signal.aborted) {
                onAbort();
                return;
            }
            tryOnce();
        });
    }

    /** Takes in an answer. One that nobody waits for is dropped: its wish was ended when it was given up. */
    take(answer: messages.FromOwner): void {
        const open = this.open.get(answer.id);
        if (!open) {
            return;
        }
        if (answer.standing === owners.Standing.Granted || answer.standing === owners.Standing.Refused) {
            open.settle({ kind: OutcomeKind.Answered, answer });
        }
        else {
            open.heard(answer.standing);
        }
    }
}
