import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as records from "./records.js";
import * as rules from "./rules.js";
import * as states from "./state.js";
import * as takeovers from "./takeover.js";

type Step = decision.Transaction<states.MemberState, states.MemberAction>;
type ConsentMessage = Extract<states.MemberMessage, { readonly target: string; }>;

/** Asks the other successors of hosts that may be dead whether their promises have lapsed. */
export function planConsents(state: states.MemberState, now: decision.Milliseconds): Step {
    if (now < state.nextConsentAt || state.stopping) {
        return decision.unchanged(state);
    }
    const { incarnation } = state.settings;
    const actions = takeovers.findCandidates(state, now).flatMap(({ target, version, missing }) =>
        missing.map((host): states.MemberAction => ({
            kind: states.ActionKind.Send,
            host,
            message: { kind: states.MessageKind.ConsentRequest, incarnation, target, version },
        }))
    );
    return actions.length === 0
        ? decision.unchanged(state)
        : { state: { ...state, nextConsentAt: now + durations.PROMISE_RETRY_MS }, actions };
}

/** Agrees to a takeover once the own promise has lapsed, and promises nothing more under this version (rules 4 and 5). */
export function answerRequest(
    state: states.MemberState,
    host: string,
    { target, version, incarnation }: ConsentMessage,
    now: decision.Milliseconds,
): Step {
    const seen = state.view.hosts[target];
    const self = records.ownStay(state.settings, state.own);
    if (!seen || !records.namesAt(seen, version, self) || !takeovers.promiseLapsed(state, target, now)) {
        return decision.unchanged(state);
    }
    const message: states.MemberMessage = { kind: states.MessageKind.Consent, incarnation, target, version };
    const refuses = rules.inForce(state.settings, rules.Rule.RefuseAfterConsent);
    const refusing = { ...state.refusing, [target]: { version, mayHaveChanged: true } };
    return {
        state: refuses ? { ...state, refusing } : state,
        actions: [{ kind: states.ActionKind.Send, host, message }],
    };
}

/** Takes note that another successor agrees. */
export function takeConsent(
    state: states.MemberState,
    host: string,
    { target, version }: ConsentMessage,
): states.MemberState {
    const former = state.consents[target];
    const from = former?.version === version ? former.from.filter((other) => other !== host) : [];
    return { ...state, consents: { ...state.consents, [target]: { version, from: [...from, host] } } };
}
