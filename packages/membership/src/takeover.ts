import type * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as records from "./records.js";
import * as roster from "./roster.js";
import * as rules from "./rules.js";
import type * as states from "./state.js";
import * as wanted from "./wanted.js";

/** A host that may be taken over, and what must still be so when the write takes effect. */
export interface Takeover {
    readonly target: string;
    readonly version: number;
    readonly comparisons: readonly states.Comparison[];
}

/** Finds a host that this one may take over now (rules 2 and 4). */
export function findTakeover(state: states.MemberState, now: decision.Milliseconds): Takeover | undefined {
    for (const stay of Object.keys(state.unleasedSince)) {
        const seen = state.view.hosts[stay.slice(0, stay.lastIndexOf("@"))];
        const takeover = seen && judge(state, seen, now);
        if (takeover) {
            return takeover;
        }
    }
    return undefined;
}

function judge(
    state: states.MemberState,
    seen: records.SeenHost,
    now: decision.Milliseconds,
): Takeover | undefined {
    const { settings, own } = state;
    const { host } = seen.record;
    const since = state.unleasedSince[roster.stayOf(host, seen.created)] ?? now;
    if (!own || host === settings.host || now - since < settings.timing.graceMs) {
        return undefined;
    }
    const { successor } = seen.record;
    if (successor?.host === settings.host && successor.session === own.created) {
        return promiseLapsed(state, host, now) ? makeTakeover(state, seen, []) : undefined;
    }
    if (!isNextInLine(state, host)) {
        return undefined;
    }
    if (!successor || now - since > longestCarried(settings.timing)) {
        return makeTakeover(state, seen, []);
    }
    return standInFor(state, seen, successor, now);
}

/** The longest that a host can act after its lease was last renewed, in milliseconds. */
function longestCarried(timing: durations.Timing): decision.Milliseconds {
    return durations.certainTime(durations.LONGEST_OUTAGE_MS + timing.leaseMs + timing.promiseMs);
}

function promiseLapsed(state: states.MemberState, host: string, now: decision.Milliseconds): boolean {
    return now >= (state.given[host] ?? -Infinity)
        || !rules.inForce(state.settings, rules.Rule.TakeOverAfterPromise);
}

/** One host acts in place of a successor that is gone, so that the whole fleet doesn't write at once. */
function isNextInLine(state: states.MemberState, host: string): boolean {
    return wanted.clockwise(host, records.liveHosts(state.view))[0]?.host === state.settings.host;
}

/** Takes over for a successor that is gone, once all its promises have lapsed with certainty. */
function standInFor(
    state: states.MemberState,
    seen: records.SeenHost,
    successor: records.Successor,
    now: decision.Milliseconds,
): Takeover | undefined {
    const goneSince = state.goneSince[roster.stayOf(successor.host, successor.session)];
    const waits = rules.inForce(state.settings, rules.Rule.StandInWaits);
    const wait = waits ? durations.certainTime(state.settings.timing.promiseMs) : 0;
    if (goneSince === undefined || now - goneSince < wait) {
        return undefined;
    }
    const modRevision = records.versionOf(state.view, successor.host);
    return makeTakeover(state, seen, [{ key: records.recordKey(successor.host), modRevision }]);
}

function makeTakeover(
    state: states.MemberState,
    seen: records.SeenHost,
    further: readonly states.Comparison[],
): Takeover {
    const { host } = seen.record;
    const lease = { key: records.leaseKey(host), modRevision: 0 };
    const checksLease = rules.inForce(state.settings, rules.Rule.TakeOverAfterLease);
    return {
        target: host,
        version: seen.version,
        comparisons: [
            { key: records.recordKey(host), modRevision: seen.version },
            { key: records.recordKey(state.settings.host), modRevision: state.own?.version ?? 0 },
            ...(checksLease ? [lease] : []),
            ...further,
        ],
    };
}

/** Stops promising before the takeover is asked for (rule 5). */
export function refuseBefore(state: states.MemberState, takeover: Takeover): states.MemberState {
    if (!rules.inForce(state.settings, rules.Rule.RefuseBeforeTakeover)) {
        return state;
    }
    const former = state.refusing[takeover.target];
    const unanswered = former?.version === takeover.version && former.unanswered;
    const refusing = { ...state.refusing, [takeover.target]: { version: takeover.version, unanswered } };
    return { ...state, refusing };
}

/** Promises again only if no takeover of this version can take effect any more (rule 5). */
export function takeTakeoverAnswer(
    state: states.MemberState,
    target: string,
    succeeded: boolean | undefined,
): states.MemberState {
    const refusing = state.refusing[target];
    if (!refusing || succeeded === true) {
        return state;
    }
    const keeps = rules.inForce(state.settings, rules.Rule.RefuseUntilReadBack);
    if (keeps && (succeeded === undefined || refusing.unanswered)) {
        return { ...state, refusing: { ...state.refusing, [target]: { ...refusing, unanswered: true } } };
    }
    const others = Object.entries(state.refusing).filter(([host]) => host !== target);
    return { ...state, refusing: Object.fromEntries(others) };
}
