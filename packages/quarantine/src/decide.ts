import * as decision from "@citronlead/decision";
import * as events from "./events.js";
import * as states from "./state.js";

type State = states.QuarantineState;
type Result = decision.Transaction<State, events.QuarantineAction>;
type Event<Kind extends events.QuarantineEventKind> = Extract<events.QuarantineEvent, { kind: Kind; }>;

/** Reports of an upstream whose incarnation is not known belong to its latest crash within this time. */
const SAME_CRASH_MS = 3_000;
/** How many contents and crashes are remembered; the oldest are forgotten first. */
const SUSPECT_LIMIT = 2_000;
const CRASH_LIMIT = 100;
/** How many quarantines a host that starts is told of. */
const TOLD_LIMIT = 100;

const NO_SUSPECT: states.Suspect = {
    crashes: 0,
    lastCrashAt: -Infinity,
    own: false,
    quarantinedUntil: -Infinity,
    offences: 0,
};

/** Decides which contents crash upstreams. See docs/design/quarantine.md. */
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
        decision.invariant(next.state.suspects.size <= SUSPECT_LIMIT, "the number of suspects is bounded");
        return next;
    },
};

function decide(state: State, event: events.QuarantineEvent, now: decision.Milliseconds): Result {
    switch (event.kind) {
        case events.QuarantineEventKind.Crashed:
            return crashed(state, event, now);
        case events.QuarantineEventKind.RanWhole:
            return ranWhole(state, event.fingerprint, now);
        case events.QuarantineEventKind.Cleared:
            return { state: clear(state, event.fingerprint), actions: [] };
        case events.QuarantineEventKind.Quarantined:
            return { state: quarantinedElsewhere(state, event, now), actions: [] };
        case events.QuarantineEventKind.Asked:
            return { state, actions: quarantinesFor(state, event.peer, now) };
        case events.QuarantineEventKind.Tick:
            return tick(state, now);
    }
}

function crashed(
    state: State,
    event: Event<events.QuarantineEventKind.Crashed>,
    now: decision.Milliseconds,
): Result {
    const known = state.crashes.find((crash) => isSameCrash(crash, event, now));
    const added = event.fingerprints.filter((fingerprint) => !known?.fingerprints.includes(fingerprint));
    const crash: states.Crash = {
        upstream: event.upstream,
        incarnation: known?.incarnation || event.incarnation,
        firstReportAt: known?.firstReportAt ?? now,
        fingerprints: [...known?.fingerprints ?? [], ...added],
        judged: known?.judged ?? false,
        explained: known?.explained ?? false,
    };
    const others = state.crashes.filter((candidate) => candidate !== known);
    const crashes = [...others, crash].slice(-CRASH_LIMIT);
    const suspects = crash.explained ? state.suspects : addCrash(state.suspects, added, event.own, now);
    const culprit = crash.explained ? undefined : added.find((candidate) => isQuarantined(suspects, candidate, now));
    const { upstream, incarnation, fingerprints } = event;
    return {
        state: culprit === undefined ? { crashes, suspects } : explain({ crashes, suspects }, culprit),
        actions: event.own ? [{ kind: events.QuarantineActionKind.Report, upstream, incarnation, fingerprints }] : [],
    };
}

function addCrash(
    former: State["suspects"],
    fingerprints: readonly string[],
    own: boolean,
    now: decision.Milliseconds,
): Map<string, states.Suspect> {
    const suspects = new Map(former);
    for (const fingerprint of fingerprints) {
        const suspect = suspects.get(fingerprint) ?? NO_SUSPECT;
        suspects.delete(fingerprint);
        suspects.set(fingerprint, {
            ...suspect,
            crashes: suspect.crashes + 1,
            lastCrashAt: now,
            own: suspect.own || own,
        });
    }
    forgetOldest(suspects);
    return suspects;
}

function isQuarantined(suspects: State["suspects"], fingerprint: string, now: decision.Milliseconds): boolean {
    return (suspects.get(fingerprint)?.quarantinedUntil ?? -Infinity) > now;
}

/** The crashes at which a quarantined content ran speak against no other content any more. */
function explain(state: State, culprit: string): State {
    const suspects = new Map(state.suspects);
    const crashes = state.crashes.map((crash) => {
        if (crash.explained || !crash.fingerprints.includes(culprit)) {
            return crash;
        }
        crash.fingerprints.filter((candidate) => candidate !== culprit).forEach((innocent) =>
            acquit(suspects, innocent)
        );
        return { ...crash, judged: true, explained: true };
    });
    return { crashes, suspects };
}

function acquit(suspects: Map<string, states.Suspect>, fingerprint: string): void {
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
        : now - crash.firstReportAt <= SAME_CRASH_MS;
}

/** Forgets what was reported longest ago, but no content that is quarantined while there is another. */
function forgetOldest(suspects: Map<string, states.Suspect>): void {
    for (const spared of [true, false]) {
        for (const [fingerprint, suspect] of suspects) {
            if (suspects.size <= SUSPECT_LIMIT) {
                return;
            }
            if (!spared || suspect.offences === 0) {
                suspects.delete(fingerprint);
            }
        }
    }
}

/** One good run clears a content that was at one crash; one that was at more stays suspect for its time. */
function ranWhole(state: State, fingerprint: string, now: decision.Milliseconds): Result {
    if (states.verdict(state, fingerprint, now).standing !== states.Standing.Suspect) {
        return decision.unchanged(state);
    }
    const next = clear(state, fingerprint);
    return next === state
        ? decision.unchanged(state)
        : { state: next, actions: [{ kind: events.QuarantineActionKind.Clear, fingerprint }] };
}

function clear(state: State, fingerprint: string): State {
    const suspect = state.suspects.get(fingerprint);
    if (suspect?.crashes !== 1 || suspect.offences > 0) {
        return state;
    }
    const suspects = new Map(state.suspects);
    suspects.delete(fingerprint);
    return { ...state, suspects };
}

function quarantinedElsewhere(
    state: State,
    event: Event<events.QuarantineEventKind.Quarantined>,
    now: decision.Milliseconds,
): State {
    const former = state.suspects.get(event.fingerprint) ?? NO_SUSPECT;
    const suspects = new Map(state.suspects);
    suspects.set(event.fingerprint, {
        ...former,
        crashes: Math.max(1, former.crashes),
        lastCrashAt: Math.max(former.lastCrashAt, now),
        quarantinedUntil: Math.max(former.quarantinedUntil, now + event.durationMs),
        offences: Math.max(former.offences, event.offences),
    });
    forgetOldest(suspects);
    return explain({ ...state, suspects }, event.fingerprint);
}

/** What a host that starts has to know, the latest first. */
function quarantinesFor(state: State, peer: string, now: decision.Milliseconds): events.QuarantineAction[] {
    const quarantined = [...state.suspects].filter(([, suspect]) => suspect.quarantinedUntil > now);
    return quarantined.reverse().slice(0, TOLD_LIMIT).map(([fingerprint, suspect]) => ({
        kind: events.QuarantineActionKind.Tell,
        peer,
        fingerprint,
        durationMs: suspect.quarantinedUntil - now,
        offences: suspect.offences,
    }));
}

function tick(state: State, now: decision.Milliseconds): Result {
    if (state.crashes.length === 0 && state.suspects.size === 0) {
        return decision.unchanged(state);
    }
    const due = state.crashes.filter((crash) => !crash.judged && now >= crash.firstReportAt + states.REPORT_TIME_MS);
    const judged = due.reduce<Result>(
        (result, crash) => {
            const current = result.state.crashes.find((candidate) =>
                candidate.upstream === crash.upstream
                && candidate.firstReportAt === crash.firstReportAt
            ) ?? crash;
            const next = judge(result.state, current, now);
            return { state: next.state, actions: [...result.actions, ...next.actions] };
        },
        decision.unchanged(state),
    );
    return { ...judged, state: forgetPast(judged.state, now) };
}

/**
 * Blames a content for a crash if it was at more crashes than any other content that ran there, and at two at least.
 * If several were at as many, the next crash decides between them.
 */
function judge(state: State, crash: states.Crash, now: decision.Milliseconds): Result {
    if (crash.judged) {
        return decision.unchanged(state);
    }
    const crashes = state.crashes.map((candidate) => candidate === crash ? { ...crash, judged: true } : candidate);
    const counted = crash.fingerprints.flatMap((fingerprint) => {
        const suspect = state.suspects.get(fingerprint);
        return suspect ? [{ fingerprint, suspect }] : [];
    });
    const most = Math.max(0, ...counted.map(({ suspect }) => suspect.crashes));
    const blamed = counted.filter(({ suspect }) => suspect.crashes === most);
    const [only] = blamed;
    if (most < 2 || blamed.length !== 1 || !only || only.suspect.quarantinedUntil > now) {
        return { state: { ...state, crashes }, actions: [] };
    }
    return quarantine({ ...state, crashes }, only.fingerprint, only.suspect, now);
}

function quarantine(state: State, fingerprint: string, suspect: states.Suspect, now: decision.Milliseconds): Result {
    const offences = suspect.offences + 1;
    const durationMs = Math.min(states.LONGEST_QUARANTINE_MS, states.QUARANTINE_MS * 2 ** (offences - 1));
    const suspects = new Map(state.suspects);
    suspects.set(fingerprint, { ...suspect, crashes: 1, offences, quarantinedUntil: now + durationMs });
    return {
        state: explain({ ...state, suspects }, fingerprint),
        actions: suspect.own
            ? [{ kind: events.QuarantineActionKind.Quarantine, fingerprint, durationMs, offences }]
            : [],
    };
}

function forgetPast(state: State, now: decision.Milliseconds): State {
    const past = [...state.suspects].filter(([, suspect]) => {
        const until = suspect.offences > 0
            ? suspect.quarantinedUntil + states.PROBATION_MS
            : suspect.lastCrashAt + states.SUSPICION_MS;
        return until <= now;
    });
    const crashes = state.crashes.filter((crash) => now - crash.firstReportAt <= states.SUSPICION_MS);
    if (past.length === 0 && crashes.length === state.crashes.length) {
        return state;
    }
    const suspects = new Map(state.suspects);
    past.forEach(([fingerprint]) => suspects.delete(fingerprint));
    return { crashes, suspects };
}
