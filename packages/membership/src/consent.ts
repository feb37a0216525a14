import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as records from "./records.js";
import * as rules from "./rules.js";
import * as states from "./state.js";
import * as takeovers from "./takeover.js";

type Transition = decision.Transition<states.MemberState, states.MemberAction>;
type ConsentMessage = Extract<states.MemberMessage, { readonly target: string; }>;

/** Asks the other successors of hosts that may be dead for their consent to a takeover. */
export function planConsentRequests(state: states.MemberState, now: decision.Milliseconds): Transition {
    if (now < state.nextConsentAt || state.stopping) {
        return decision.withoutActions(state);
    }
    const { incarnation } = state.settings;
    const actions = takeovers.findCandidates(state, now).flatMap(({ target, version, missing }) =>
        missing.map((host): states.MemberAction => ({
            kind: states.ActionKind.Send,
            host,
            message: { kind: states.MessageKind.TakeoverConsentRequest, incarnation, target, version },
        }))
    );
    return actions.length === 0
        ? decision.withoutActions(state)
        : { state: { ...state, nextConsentAt: now + durations.SUCCESSOR_RETRY_MS }, actions };
}

/** Consents once the lease granted to the target has expired, and grants it none under this version (rules 4 and 5). */
export function answerConsentRequest(
    state: states.MemberState,
    host: string,
    { target, version, incarnation }: ConsentMessage,
    now: decision.Milliseconds,
): Transition {
    const observed = state.view.hosts[target];
    const self = records.asSuccessor(state.settings, state.own);
    if (
        !observed || !records.namesSuccessor(observed, version, self)
        || !takeovers.grantedLeaseExpired(state, target, now)
    ) {
        return decision.withoutActions(state);
    }
    const message: states.MemberMessage = { kind: states.MessageKind.TakeoverConsent, incarnation, target, version };
    const mustRefuse = rules.isEnforced(state.settings, rules.Rule.RefuseAfterConsent);
    const refusedVersions = { ...state.refusedVersions, [target]: { version, mayHaveBeenTakenOver: true } };
    return {
        state: mustRefuse ? { ...state, refusedVersions } : state,
        actions: [{ kind: states.ActionKind.Send, host, message }],
    };
}

/** Records the consent of another successor. */
export function applyConsent(
    state: states.MemberState,
    host: string,
    { target, version }: ConsentMessage,
): states.MemberState {
    const former = state.consents[target];
    const from = former?.version === version ? former.from.filter((other) => other !== host) : [];
    return { ...state, consents: { ...state.consents, [target]: { version, from: [...from, host] } } };
}
