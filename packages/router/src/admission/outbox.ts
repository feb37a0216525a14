import * as admission from "@citronlead/admission";
import * as lifecycle from "@citronlead/lifecycle";
import type * as memberships from "../membership/shell.js";

/** Sends admission messages. Settlements that are not urgent are sent along with the next message to the same host. */
export interface AdmissionOutbox {
    readonly send: (target: memberships.RosterHost, message: admission.Message) => void;
}

type Deliver = (target: memberships.RosterHost, message: admission.Message) => void;

interface DeferredMessages {
    readonly target: memberships.RosterHost;
    readonly messages: admission.Message[];
}

/** How long a settlement waits for another message to the same host before it is sent by itself. */
const MAX_SETTLEMENT_DELAY_MS = 500;

/** Makes the outbox. Deferred messages are sent when the scope closes. */
export function makeOutbox(scope: lifecycle.Scope, deliver: Deliver): AdmissionOutbox {
    const deferred = new Map<string, DeferredMessages>();
    const flush = (host: string) => {
        const batch = deferred.get(host);
        deferred.delete(host);
        batch?.messages.forEach((message) => deliver(batch.target, message));
    };
    scope.defer(() => [...deferred.keys()].forEach(flush));
    return {
        send: (target, message) => {
            if (!isDeferrable(message)) {
                flush(target.host);
                deliver(target, message);
                return;
            }
            const batch = deferred.get(target.host);
            if (batch) {
                batch.messages.push(message);
                return;
            }
            deferred.set(target.host, { target, messages: [message] });
            lifecycle.after(scope, MAX_SETTLEMENT_DELAY_MS, () => flush(target.host));
        },
    };
}

/** The settlement of a cancelled charge (nothing used) is sent at once, since the charge may still wait in a queue. */
function isDeferrable(message: admission.Message): boolean {
    return message.kind === admission.MessageKind.Settlement && message.usedTokens > 0;
}
