import * as admission from "@citronlead/admission";
import * as lifecycle from "@citronlead/lifecycle";
import type * as memberships from "./membershipshell.js";

/** Sends messages about rates. Those that can wait go along with the next one to the same host. */
export interface AdmissionOutbox {
    readonly send: (target: memberships.RosterHost, message: admission.Message) => void;
}

type Deliver = (target: memberships.RosterHost, message: admission.Message) => void;

interface Deferred {
    readonly target: memberships.RosterHost;
    readonly messages: admission.Message[];
}

/** How long a settlement waits for another message to the same host, in milliseconds. */
const SETTLEMENT_DELAY_MS = 500;

/** Makes the outbox. Nothing waits when the scope closes. */
export function makeOutbox(scope: lifecycle.Lifecycle, deliver: Deliver): AdmissionOutbox {
    const deferred = new Map<string, Deferred>();
    const flush = (host: string) => {
        const waiting = deferred.get(host);
        deferred.delete(host);
        waiting?.messages.forEach((message) => deliver(waiting.target, message));
    };
    scope.own(() => [...deferred.keys()].forEach(flush));
    return {
        send: (target, message) => {
            if (!mayWait(message)) {
                flush(target.host);
                deliver(target, message);
                return;
            }
            const waiting = deferred.get(target.host);
            if (waiting) {
                waiting.messages.push(message);
                return;
            }
            deferred.set(target.host, { target, messages: [message] });
            lifecycle.after(scope, SETTLEMENT_DELAY_MS, () => flush(target.host));
        },
    };
}

/** A cancelled charge is given back at once, since it may still wait in a queue. */
function mayWait(message: admission.Message): boolean {
    return message.kind === admission.MessageKind.Settlement && message.usedTokens > 0;
}
