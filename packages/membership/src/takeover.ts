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
    /** Successors of the host that have not agreed yet. */
    readonly missing: readonly string[];
}

/** Finds a host that this one may take over now (rules 2 and 4). */
export function findTakeover(state: states.MemberState, now: decision.Milliseconds): Takeover | undefined {
    return findCandidates(state, now).find((takeover) => takeover.missing.length === 0);
}

/** The hosts that this one may take over, or could if their other successors agreed. */
export function findCandidates(state: states.MemberState, now: decision.Milliseconds): readonly Takeover[] {
    return Object.keys(state.unleasedSince).flatMap((stay) => {
        const seen = state.view.hosts[stay.slice(0, stay.lastIndexOf("@"))];
        return (seen && judge(state, seen, now)) ?? [];
    });
}

function judge(
    state: states.MemberState,
    seen: records.SeenHost,
    now: decision.Milliseconds,
): Takeover | undefined {
    const { settings, own } = state;
    const { host, successors } = seen.record;
    const since = state.unleasedSince[roster.stayOf(seen.record)] ?? now;
    if (!own || host === settings.host || now - since < settings.timing.graceMs || !isNextInLine(state, seen)) {
        return undefined;
    }
    if (now - since > longestCarried(settings.timing)) {
        return makeTakeover(state, seen, [], []);
    }
    const isSelf = (one: records.Successor) => one.host === settings.host && one.session === own.record.session;
    if (successors.some(isSelf) && !promiseLapsed(state, host, now)) {
        return undefined;
    }
    const others = successors.filter((one) => !isSelf(one));
    const gone = others.filter((one) => !records.isThere(state.view, one));
    if (!gone.every((one) => hasWaited(state, one, now))) {
        return undefined;
    }
    const missing = others.filter((one) => !gone.includes(one) && !hasAgreed(state, seen, one));
    return makeTakeover(state, seen, gone, missing);
}

/** The longest that a host can act after its lease was last renewed, in milliseconds. */
function longestCarried(timing: durations.Timing): decision.Milliseconds {
    return durations.certainTime(durations.LONGEST_OUTAGE_MS + timing.leaseMs + timing.promiseMs);
}

/** Whether this host's own promise to another one has lapsed. */
export function promiseLapsed(state: states.MemberState, host: string, now: decision.Milliseconds): boolean {
    return now >= (state.given[host] ?? -Infinity)
        || !rules.inForce(state.settings, rules.Rule.TakeOverAfterPromise);
}

/** One host asks for a takeover at a time: the first successor that lives, or else the next on the ring. */
function isNextInLine(state: states.MemberState, seen: records.SeenHost): boolean {
    const { view, settings } = state;
    const lives = (one: records.Successor) => records.isThere(view, one) && view.hosts[one.host]?.leaseId !== undefined;
    const first = seen.record.successors.find(lives)?.host
        ?? wanted.clockwise(seen.record.host, records.liveHosts(view))[0]?.host;
    return first === settings.host;
}

/** Whether a successor has been gone for so long that all its promises have lapsed with certainty. */
function hasWaited(
    state: states.MemberState,
    successor: records.Successor,
    now: decision.Milliseconds,
): boolean {
    const { settings } = state;
    const goneSince = state.goneSince[roster.stayOf(successor)];
    const waits = rules.inForce(settings, rules.Rule.StandInWaits);
    const wait = waits ? durations.certainTime(settings.timing.promiseMs) : 0;
    return goneSince !== undefined && now - goneSince >= wait;
}

function hasAgreed(state: states.MemberState, seen: records.SeenHost, successor: records.Successor): boolean {
    const consents = state.consents[seen.record.host];
    return (consents?.version === seen.version && consents.from.includes(successor.host))
        || !rules.inForce(state.settings, rules.Rule.TakeOverAfterConsent);
}

function makeTakeover(
    state: states.MemberState,
    seen: records.SeenHost,
    gone: readonly records.Successor[],
    missing: readonly records.Successor[],
): Takeover {
    const { host } = seen.record;
    const lease = { key: records.leaseKey(host), modRevision: 0 };
    const checksLease = rules.inForce(state.settings, rules.Rule.TakeOverAfterLease);
    return {
        target: host,
        version: seen.version,
        missing: missing.map((one) => one.host),
        comparisons: [
            { key: records.recordKey(host), modRevision: seen.version },
            { key: records.recordKey(state.settings.host), modRevision: state.own?.version ?? 0 },
            ...(checksLease ? [lease] : []),
            ...gone.map((one) => ({
                key: records.recordKey(one.host),
                modRevision: records.versionOf(state.view, one.host),
            })),
        ],
    };
}

/** Stops promising before the takeover is asked for (rule 5). */
export function refuseBefore(state: states.MemberState, takeover: Takeover): states.MemberState {
    if (!rules.inForce(state.settings, rules.Rule.RefuseBeforeTakeover)) {
        return state;
    }
    const former = state.refusing[takeover.target];
    const mayHaveChanged = former?.version === takeover.version && former.mayHaveChanged;
    const refusing = { ...state.refusing, [takeover.target]: { version: takeover.version, mayHaveChanged } };
    return { ...state, refusing };
}

/** Promises again only if no takeover of this version can take effect any more (rule 5). */
export function takeTakeoverAnswer(
    state: states.MemberState,
    target: string,
    succeeded: boolean | undefined,
): states.MemberState {
    const refusing = state.refusing[target];
    if (!refusing) {
        return state;
    }
    // Only a refusal by the service proves that nothing changed, and only if no earlier write may have taken effect.
    const keeps = rules.inForce(state.settings, rules.Rule.RefuseUntilReadBack);
    const mayHaveChanged = succeeded === true || (keeps && (succeeded === undefined || refusing.mayHaveChanged));
    if (mayHaveChanged) {
        return { ...state, refusing: { ...state.refusing, [target]: { ...refusing, mayHaveChanged } } };
    }
    const others = Object.entries(state.refusing).filter(([host]) => host !== target);
    return { ...state, refusing: Object.fromEntries(others) };
}
