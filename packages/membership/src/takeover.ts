import type * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as placement from "./placement.js";
import * as records from "./records.js";
import * as rules from "./rules.js";
import type * as states from "./state.js";
import * as views from "./view.js";

/** A host that may be taken over, and the preconditions of the write that does so. */
export interface Takeover {
    readonly target: string;
    /** The version of the target's record. */
    readonly version: number;
    readonly comparisons: readonly states.Comparison[];
    /** Successors of the target whose consent is missing. */
    readonly missing: readonly string[];
}

/** Finds a host that this host may take over now (rules 2 and 4). */
export function findTakeover(state: states.MemberState, now: decision.Milliseconds): Takeover | undefined {
    return findCandidates(state, now).find((takeover) => takeover.missing.length === 0);
}

/** Finds the hosts that this host may take over, now or once their other successors have consented. */
export function findCandidates(state: states.MemberState, now: decision.Milliseconds): readonly Takeover[] {
    return Object.keys(state.withoutLeaseSince).flatMap((sessionKey) => {
        const observed = state.view.hosts[sessionKey.slice(0, sessionKey.lastIndexOf("@"))];
        return (observed && evaluateCandidate(state, observed, now)) ?? [];
    });
}

function evaluateCandidate(
    state: states.MemberState,
    observed: records.ObservedHost,
    now: decision.Milliseconds,
): Takeover | undefined {
    const { settings, own: ownEntry } = state;
    const { host, successors } = observed.record;
    const withoutLeaseSince = state.withoutLeaseSince[views.sessionKey(observed.record)] ?? now;
    if (
        !ownEntry || host === settings.host || now - withoutLeaseSince < settings.timing.graceMs
        || !isFirstInLine(state, observed)
    ) {
        return undefined;
    }
    if (now - withoutLeaseSince > longestRightWithoutLease(settings.timing)) {
        return makeTakeover(state, observed, [], []);
    }
    const isSelf = (one: records.Successor) => one.host === settings.host && one.session === ownEntry.record.session;
    if (successors.some(isSelf) && !grantedLeaseExpired(state, host, now)) {
        return undefined;
    }
    const others = successors.filter((one) => !isSelf(one));
    const gone = others.filter((one) => !records.isSessionRegistered(state.view, one));
    if (!gone.every((one) => grantsExpired(state, one, now))) {
        return undefined;
    }
    const missing = others.filter((one) => !gone.includes(one) && !hasConsented(state, observed, one));
    return makeTakeover(state, observed, gone, missing);
}

/** The longest that a host can have the right to act after its host lease was last renewed, in milliseconds. */
function longestRightWithoutLease(timing: durations.Timing): decision.Milliseconds {
    return durations.addClockDrift(durations.MAX_OUTAGE_MS + timing.leaseMs + timing.promiseMs);
}

/** Whether the last successor lease that this host granted to another one has expired. */
export function grantedLeaseExpired(state: states.MemberState, host: string, now: decision.Milliseconds): boolean {
    return now >= (state.grantedUntil[host] ?? -Infinity)
        || !rules.isEnforced(state.settings, rules.Rule.TakeOverAfterOwnGrant);
}

/** Only one host requests a takeover at a time: the first live successor, or else the next live host on the ring. */
function isFirstInLine(state: states.MemberState, observed: records.ObservedHost): boolean {
    const { view, settings } = state;
    const isLive = (one: records.Successor) =>
        records.isSessionRegistered(view, one) && view.hosts[one.host]?.leaseId !== undefined;
    const first = observed.record.successors.find(isLive)?.host
        ?? placement.ringOrder(observed.record.host, records.liveHosts(view))[0]?.host;
    return first === settings.host;
}

/** Whether a successor has been gone for so long that all leases it granted have expired on every clock. */
function grantsExpired(
    state: states.MemberState,
    successor: records.Successor,
    now: decision.Milliseconds,
): boolean {
    const { settings } = state;
    const successorGoneSince = state.successorGoneSince[views.sessionKey(successor)];
    const mustWait = rules.isEnforced(settings, rules.Rule.SubstituteWaits);
    const waitMs = mustWait ? durations.addClockDrift(settings.timing.promiseMs) : 0;
    return successorGoneSince !== undefined && now - successorGoneSince >= waitMs;
}

function hasConsented(
    state: states.MemberState,
    observed: records.ObservedHost,
    successor: records.Successor,
): boolean {
    const consents = state.consents[observed.record.host];
    return (consents?.version === observed.version && consents.from.includes(successor.host))
        || !rules.isEnforced(state.settings, rules.Rule.TakeOverAfterConsent);
}

function makeTakeover(
    state: states.MemberState,
    observed: records.ObservedHost,
    gone: readonly records.Successor[],
    missing: readonly records.Successor[],
): Takeover {
    const { host } = observed.record;
    const lease = { key: records.leaseKey(host), modRevision: 0 };
    const checksLease = rules.isEnforced(state.settings, rules.Rule.TakeOverAfterLease);
    return {
        target: host,
        version: observed.version,
        missing: missing.map((one) => one.host),
        comparisons: [
            { key: records.recordKey(host), modRevision: observed.version },
            { key: records.recordKey(state.settings.host), modRevision: state.own?.version ?? 0 },
            ...(checksLease ? [lease] : []),
            ...gone.map((one) => ({
                key: records.recordKey(one.host),
                modRevision: records.recordVersionOf(state.view, one.host),
            })),
        ],
    };
}

/** Stops granting leases to the target before the takeover is requested (rule 5). */
export function refuseLeasesBefore(state: states.MemberState, takeover: Takeover): states.MemberState {
    if (!rules.isEnforced(state.settings, rules.Rule.RefuseBeforeTakeover)) {
        return state;
    }
    const former = state.refusedVersions[takeover.target];
    const mayHaveBeenTakenOver = former?.version === takeover.version && former.mayHaveBeenTakenOver;
    const refusedVersions = {
        ...state.refusedVersions,
        [takeover.target]: { version: takeover.version, mayHaveBeenTakenOver },
    };
    return { ...state, refusedVersions };
}

/** Grants leases to the target again only if no takeover under this version can take effect any more (rule 5). */
export function applyTakeoverAnswer(
    state: states.MemberState,
    target: string,
    succeeded: boolean | undefined,
): states.MemberState {
    const refusedVersion = state.refusedVersions[target];
    if (!refusedVersion) {
        return state;
    }
    // Only a failed comparison proves that the record is unchanged, and only if no earlier write may have succeeded.
    const needsReadBack = rules.isEnforced(state.settings, rules.Rule.RefuseUntilReadBack);
    const mayHaveBeenTakenOver = succeeded === true
        || (needsReadBack && (succeeded === undefined || refusedVersion.mayHaveBeenTakenOver));
    if (mayHaveBeenTakenOver) {
        return {
            ...state,
            refusedVersions: { ...state.refusedVersions, [target]: { ...refusedVersion, mayHaveBeenTakenOver } },
        };
    }
    const others = Object.entries(state.refusedVersions).filter(([host]) => host !== target);
    return { ...state, refusedVersions: Object.fromEntries(others) };
}
