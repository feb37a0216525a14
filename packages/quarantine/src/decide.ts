import * as decision from "@citronlead/decision";
import * as events from "./events.js";
import * as states from "./state.js";

type State = states.QuarantineState;
type Transition = decision.Transition<State, events.QuarantineAction>;
type Event<Kind extends events.QuarantineEventKind> = Extract<events.QuarantineEvent, { kind: Kind; }>;

/** Without an incarnation in both, reports about the same upstream within this time count as one crash. */
const SAME_CRASH_WINDOW_MS = 3_000;
/** Bounds on memory; the oldest suspects and crashes are evicted first. */
const MAX_SUSPECTS = 2_000;
const MAX_CRASHES = 100;
/** The maximum number of quarantines sent to a host that has just started. */
const MAX_QUARANTINES_SENT = 100;

const UNSUSPECTED: states.Suspect = {
    crashes: 0,
    lastCrashAt: -Infinity,
    sentByThisHost: false,
    quarantinedUntil: -Infinity,
    offences: 0,
};

/** Decides which request contents crash upstreams and quarantines them. See docs/design/quarantine.md. */
export const quarantineModule: decision.DecisionModule<
    events.QuarantineSettings,
    State,
    events.QuarantineEvent,
    events.QuarantineAction
> = {
    name: "quarantine",
    start: () => ({ crashes: [], suspects: new Map() }),
    decide: (state, event, now) => {
        const next = decide(state, event, now);
        decision.invariant(next.state.suspects.size <= MAX_SUSPECTS, "the number of suspects is bounded");
        return next;
    },
};

function decide(state: State, event: events.QuarantineEvent, now: decision.Milliseconds): Transition {
    switch (event.kind) {
        case events.QuarantineEventKind.Crashed:
            return addCrashReport(state, event, now);
        case events.QuarantineEventKind.Completed:
            return completed(state, event.fingerprint, now);
        case events.QuarantineEventKind.Cleared:
            return { state: clearSuspect(state, event.fingerprint), actions: [] };
        case events.QuarantineEventKind.Quarantined:
            return { state: applyRemoteQuarantine(state, event, now), actions: [] };
        case events.QuarantineEventKind.QuarantinesRequested:
            return { state, actions: quarantinesToSend(state, event.peer, now) };
        case events.QuarantineEventKind.Tick:
            return tick(state, now);
    }
}

function addCrashReport(
    state: State,
    event: Event<events.QuarantineEventKind.Crashed>,
    now: decision.Milliseconds,
): Transition {
    const existing = state.crashes.find((crash) => isSameCrash(crash, event, now));
    const added = event.fingerprints.filter((fingerprint) => !existing?.fingerprints.includes(fingerprint));
    const crash: states.Crash = {
        upstream: event.upstream,
        incarnation: existing?.incarnation || event.incarnation,
        firstReportAt: existing?.firstReportAt ?? now,
        fingerprints: [...existing?.fingerprints ?? [], ...added],
        evaluated: existing?.evaluated ?? false,
        attributed: existing?.attributed ?? false,
    };
    const others = state.crashes.filter((candidate) => candidate !== existing);
    const crashes = [...others, crash].slice(-MAX_CRASHES);
    const suspects = crash.attributed ? state.suspects : countCrash(state.suspects, added, event.own, now);
    const cause = crash.attributed ? undefined : added.find((candidate) => isQuarantined(suspects, candidate, now));
    const { upstream, incarnation, fingerprints } = event;
    return {
        state: cause === undefined ? { crashes, suspects } : attributeCrashes({ crashes, suspects }, cause),
        actions: event.own
            ? [{ kind: events.QuarantineActionKind.ReportCrash, upstream, incarnation, fingerprints }]
            : [],
    };
}

function countCrash(
    previous: State["suspects"],
    fingerprints: readonly string[],
    sentByThisHost: boolean,
    now: decision.Milliseconds,
): Map<string, states.Suspect> {
    const suspects = new Map(previous);
    for (const fingerprint of fingerprints) {
        const suspect = suspects.get(fingerprint) ?? UNSUSPECTED;
        suspects.delete(fingerprint);
        suspects.set(fingerprint, {
            ...suspect,
            crashes: suspect.crashes + 1,
            lastCrashAt: now,
            sentByThisHost: suspect.sentByThisHost || sentByThisHost,
        });
    }
    evictOldest(suspects);
    return suspects;
}

function isQuarantined(suspects: State["suspects"], fingerprint: string, now: decision.Milliseconds): boolean {
    return (suspects.get(fingerprint)?.quarantinedUntil ?? -Infinity) > now;
}

/**
 * Attributes all crashes that involve a quarantined content to it. They no longer count against the other contents that
 * ran there.
 */
function attributeCrashes(state: State, cause: string): State {
    const suspects = new Map(state.suspects);
    const crashes = state.crashes.map((crash) => {
        if (crash.attributed || !crash.fingerprints.includes(cause)) {
            return crash;
        }
        crash.fingerprints.filter((candidate) => candidate !== cause).forEach((other) =>
            discountCrash(suspects, other)
        );
        return { ...crash, evaluated: true, attributed: true };
    });
    return { crashes, suspects };
}

function discountCrash(suspects: Map<string, states.Suspect>, fingerprint: string): void {
    const suspect = suspects.get(fingerprint);
    if (suspect && suspect.crashes <= 1 && suspect.offences === 0) {
        suspects.delete(fingerprint);
    }
    else if (suspect) {
        suspects.set(fingerprint, { ...suspect, crashes: Math.max(0, suspect.crashes - 1) });
    }
}

function isSameCrash(
    crash: states.Crash,
    event: Event<events.QuarantineEventKind.Crashed>,
    now: decision.Milliseconds,
): boolean {
    if (crash.upstream !== event.upstream) {
        return false;
    }
    return crash.incarnation !== "" && event.incarnation !== ""
        ? crash.incarnation === event.incarnation
        : now - crash.firstReportAt <= SAME_CRASH_WINDOW_MS;
}

/**
 * Evicts the suspects that were reported longest ago. Contents that were ever quarantined are evicted only when no
 * others are left.
 */
function evictOldest(suspects: Map<string, states.Suspect>): void {
    for (const keepQuarantined of [true, false]) {
        for (const [fingerprint, suspect] of suspects) {
            if (suspects.size <= MAX_SUSPECTS) {
                return;
            }
            if (!keepQuarantined || suspect.offences === 0) {
                suspects.delete(fingerprint);
            }
        }
    }
}

/** One complete run clears a content with a single crash; one with more crashes stays suspect until that expires. */
function completed(state: State, fingerprint: string, now: decision.Milliseconds): Transition {
    if (states.verdict(state, fingerprint, now).standing !== states.Standing.Suspect) {
        return decision.withoutActions(state);
    }
    const next = clearSuspect(state, fingerprint);
    return next === state
        ? decision.withoutActions(state)
        : { state: next, actions: [{ kind: events.QuarantineActionKind.AnnounceClearance, fingerprint }] };
}

function clearSuspect(state: State, fingerprint: string): State {
    const suspect = state.suspects.get(fingerprint);
    if (suspect?.crashes !== 1 || suspect.offences > 0) {
        return state;
    }
    const suspects = new Map(state.suspects);
    suspects.delete(fingerprint);
    return { ...state, suspects };
}

function applyRemoteQuarantine(
    state: State,
    event: Event<events.QuarantineEventKind.Quarantined>,
    now: decision.Milliseconds,
): State {
    const previous = state.suspects.get(event.fingerprint) ?? UNSUSPECTED;
    const suspects = new Map(state.suspects);
    suspects.set(event.fingerprint, {
        ...previous,
        crashes: Math.max(1, previous.crashes),
        lastCrashAt: Math.max(previous.lastCrashAt, now),
        quarantinedUntil: Math.max(previous.quarantinedUntil, now + event.durationMs),
        offences: Math.max(previous.offences, event.offences),
    });
    evictOldest(suspects);
    return attributeCrashes({ ...state, suspects }, event.fingerprint);
}

/** The quarantines to send to a host that has just started, latest first. */
function quarantinesToSend(state: State, peer: string, now: decision.Milliseconds): events.QuarantineAction[] {
    const quarantined = [...state.suspects].filter(([, suspect]) => suspect.quarantinedUntil > now);
    return quarantined.reverse().slice(0, MAX_QUARANTINES_SENT).map(([fingerprint, suspect]) => ({
        kind: events.QuarantineActionKind.SendQuarantine,
        peer,
        fingerprint,
        durationMs: suspect.quarantinedUntil - now,
        offences: suspect.offences,
    }));
}

function tick(state: State, now: decision.Milliseconds): Transition {
    if (state.crashes.length === 0 && state.suspects.size === 0) {
        return decision.withoutActions(state);
    }
    const due = state.crashes.filter((crash) =>
        !crash.evaluated && now >= crash.firstReportAt + states.REPORT_WINDOW_MS
    );
    const evaluated = due.reduce<Transition>(
        (result, crash) => {
            const current = result.state.crashes.find((candidate) =>
                candidate.upstream === crash.upstream
                && candidate.firstReportAt === crash.firstReportAt
            ) ?? crash;
            const next = evaluateCrash(result.state, current, now);
            return { state: next.state, actions: [...result.actions, ...next.actions] };
        },
        decision.withoutActions(state),
    );
    return { ...evaluated, state: removeExpired(evaluated.state, now) };
}

/**
 * Quarantines the content that was running at more crashes than any other content of this crash, if it was at two or
 * more. If several contents have the same count, none is quarantined until a later crash distinguishes them.
 */
function evaluateCrash(state: State, crash: states.Crash, now: decision.Milliseconds): Transition {
    if (crash.evaluated) {
        return decision.withoutActions(state);
    }
    const crashes = state.crashes.map((candidate) => candidate === crash ? { ...crash, evaluated: true } : candidate);
    const candidates = crash.fingerprints.flatMap((fingerprint) => {
        const suspect = state.suspects.get(fingerprint);
        return suspect ? [{ fingerprint, suspect }] : [];
    });
    const highestCount = Math.max(0, ...candidates.map(({ suspect }) => suspect.crashes));
    const mostSuspected = candidates.filter(({ suspect }) => suspect.crashes === highestCount);
    const [cause] = mostSuspected;
    if (highestCount < 2 || mostSuspected.length !== 1 || !cause || cause.suspect.quarantinedUntil > now) {
        return { state: { ...state, crashes }, actions: [] };
    }
    return quarantine({ ...state, crashes }, cause.fingerprint, cause.suspect, now);
}

function quarantine(
    state: State,
    fingerprint: string,
    suspect: states.Suspect,
    now: decision.Milliseconds,
): Transition {
    const offences = suspect.offences + 1;
    const durationMs = Math.min(states.MAX_QUARANTINE_MS, states.FIRST_QUARANTINE_MS * 2 ** (offences - 1));
    const suspects = new Map(state.suspects);
    suspects.set(fingerprint, { ...suspect, crashes: 1, offences, quarantinedUntil: now + durationMs });
    return {
        state: attributeCrashes({ ...state, suspects }, fingerprint),
        actions: suspect.sentByThisHost
            ? [{ kind: events.QuarantineActionKind.AnnounceQuarantine, fingerprint, durationMs, offences }]
            : [],
    };
}

function removeExpired(state: State, now: decision.Milliseconds): State {
    const expired = [...state.suspects].filter(([, suspect]) => {
        const expiresAt = suspect.offences > 0
            ? suspect.quarantinedUntil + states.PROBATION_MS
            : suspect.lastCrashAt + states.SUSPICION_MS;
        return expiresAt <= now;
    });
    const crashes = state.crashes.filter((crash) => now - crash.firstReportAt <= states.SUSPICION_MS);
    if (expired.length === 0 && crashes.length === state.crashes.length) {
        return state;
    }
    const suspects = new Map(state.suspects);
    expired.forEach(([fingerprint]) => suspects.delete(fingerprint));
    return { crashes, suspects };
}
