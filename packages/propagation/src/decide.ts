import * as decision from "@citronlead/decision";
import * as events from "./events.js";
import * as states from "./state.js";

type State = states.PropagationState;
type Result = decision.Transaction<State, events.PropagationAction>;

/** The head is read again when the latest confirmation is older than this. */
const READ_AFTER_MS = 2_000;
const READ_PERIOD_MS = 1_000;
const WATCH_PAUSE_MS = 1_000;
const EXCHANGE_PERIOD_MS = 2_000;
/** Without a fresh confirmation hosts exchange more often, so that half of a fleet is heard of within KEYS_FRESH_MS. */
const CUT_OFF_EXCHANGE_PERIOD_MS = 500;
const CUT_OFF_AFTER_MS = 2_000;
/** A host that starts hears several others before it takes over the configuration of one. */
const GATHER_MS = 1_500;
/** The share of the roster whose witnesses go into one reply, the freshest first. */
const WITNESS_SHARE = 0.6;
/** Reads of the parts of a new revision are spread over this time for each host of the roster, up to the limit. */
const SPREAD_MS_PER_HOST = 2;
const LONGEST_SPREAD_MS = 800;

/** Decides which revision of the configuration is in force at one host. See docs/design/configuration.md. */
export const propagationModule: decision.DecisionModule<
    events.PropagationSettings,
    State,
    events.PropagationEvent,
    events.PropagationAction
> = {
    name: "propagation",
    start: (settings, now) => ({
        ...settings,
        startedAt: now,
        roster: [settings],
        inForce: 0,
        known: 0,
        confirmedAt: undefined,
        pending: undefined,
        watching: false,
        watchAgainAt: now,
        reading: false,
        readAgainAt: now,
        fetching: undefined,
        exchange: 0,
        exchangeAskedAt: now,
        exchangeAgainAt: now,
        witnesses: {},
    }),
    decide: (state, event, now) => {
        const next = decide(state, event, now);
        decision.invariant(next.state.inForce >= state.inForce, "the revision in force never goes down");
        decision.invariant(next.state.known >= next.state.inForce, "what is in force is known");
        return next;
    },
};

function decide(state: State, event: events.PropagationEvent, now: decision.Milliseconds): Result {
    const { PropagationEventKind } = events;
    switch (event.kind) {
        case PropagationEventKind.Tick:
            return tick(state, now);
        case PropagationEventKind.RosterChanged:
            return { state: { ...state, roster: event.roster }, actions: [] };
        case PropagationEventKind.HeadRead:
            return headRead({ ...state, reading: false }, event);
        case PropagationEventKind.ReadLost:
            return { state: { ...state, reading: false }, actions: [] };
        case PropagationEventKind.WatchTold:
            return hear(state, event.revision, undefined);
        case PropagationEventKind.WatchEnded:
            return { state: { ...state, watching: false, watchAgainAt: now + WATCH_PAUSE_MS }, actions: [] };
        case PropagationEventKind.Fetched:
            return fetched(state, event.revision);
        case PropagationEventKind.FetchLost:
            return { state: fetchEnded(state), actions: [] };
        case PropagationEventKind.PeerAsked:
            return peerAsked(state, event, now);
        case PropagationEventKind.PeerReplied:
            return peerReplied(state, event, now);
    }
}

type Event<Kind extends events.PropagationEventKind> = Extract<events.PropagationEvent, { kind: Kind; }>;

function tick(state: State, now: decision.Milliseconds): Result {
    return chain(state, [
        (current) => watchAgain(current, now),
        (current) => readAgain(current, now),
        (current) => exchangeAgain(current, now),
    ]);
}

function watchAgain(state: State, now: decision.Milliseconds): Result {
    if (state.watching || now < state.watchAgainAt) {
        return decision.unchanged(state);
    }
    return { state: { ...state, watching: true }, actions: [{ kind: events.PropagationActionKind.Watch }] };
}

/** Reads the head when it was confirmed too long ago, or when a revision that was heard of is still missing. */
function readAgain(state: State, now: decision.Milliseconds): Result {
    const missing = state.known > state.inForce && state.fetching === undefined;
    const due = missing || states.confirmationAge(state, now) >= READ_AFTER_MS;
    if (!due || state.reading || now < state.readAgainAt) {
        return decision.unchanged(state);
    }
    return {
        state: { ...state, reading: true, readAgainAt: now + READ_PERIOD_MS },
        actions: [{ kind: events.PropagationActionKind.ReadHead }],
    };
}

function exchangeAgain(state: State, now: decision.Milliseconds): Result {
    const peer = now < state.exchangeAgainAt ? undefined : nextPeer(state);
    if (peer === undefined) {
        return decision.unchanged(state);
    }
    const cutOff = states.confirmationAge(state, now) >= CUT_OFF_AFTER_MS || state.known > state.inForce;
    const exchange = state.exchange + 1;
    return {
        state: {
            ...state,
            exchange,
            exchangeAskedAt: now,
            exchangeAgainAt: now + (cutOff ? CUT_OFF_EXCHANGE_PERIOD_MS : EXCHANGE_PERIOD_MS),
        },
        actions: [{
            kind: events.PropagationActionKind.Ask,
            peer,
            exchange,
            revision: state.known,
            withWitnesses: cutOff,
        }],
    };
}

/** Hosts at distances 1, 2, 4 and so on in the roster, in turn, so that what one knows doubles with each exchange. */
function nextPeer(state: State): string | undefined {
    const { roster, host } = state;
    const self = roster.findIndex((entry) => entry.host === host);
    if (roster.length < 2 || self < 0) {
        return undefined;
    }
    const distances = Math.ceil(Math.log2(roster.length));
    const distance = 2 ** (state.exchange % distances);
    return roster[(self + distance) % roster.length]?.host;
}

function headRead(state: State, event: Event<events.PropagationEventKind.HeadRead>): Result {
    if (event.revision < state.known) {
        return decision.unchanged(state);
    }
    const heard = hear(state, event.revision, undefined);
    return then(heard, (next) => confirm(next, { revision: event.revision, at: event.askedAt }));
}

/** Takes note of a revision and fetches it unless that is under way. */
function hear(state: State, revision: number, peer: string | undefined): Result {
    const next = { ...state, known: Math.max(state.known, revision) };
    if (revision <= state.inForce || state.fetching !== undefined) {
        return { state: next, actions: [] };
    }
    return {
        state: { ...next, fetching: revision },
        actions: [{ kind: events.PropagationActionKind.Fetch, revision, from: peer, afterMs: spreadOf(state) }],
    };
}

/** A host's place in the roster spreads the reads of the fleet. */
function spreadOf(state: State): decision.Milliseconds {
    const place = state.roster.findIndex((entry) => entry.host === state.host);
    const longest = Math.min(LONGEST_SPREAD_MS, state.roster.length * SPREAD_MS_PER_HOST);
    return Math.round((Math.max(0, place) / Math.max(1, state.roster.length)) * longest);
}

function fetched(state: State, revision: number): Result {
    const idle = fetchEnded(state);
    if (revision <= state.inForce) {
        return { state: idle, actions: [] };
    }
    const inForce = { ...idle, inForce: revision, known: Math.max(idle.known, revision) };
    const put: Result = {
        state: inForce,
        actions: [{ kind: events.PropagationActionKind.PutInForce, revision }],
    };
    return then(put, (next) => next.pending ? confirm(next, next.pending) : decision.unchanged(next));
}

/** Only one fetch is under way. It may yield another revision than the one that it was started for. */
function fetchEnded(state: State): State {
    return { ...state, fetching: undefined };
}

/** A confirmation counts once its revision is in force. */
function confirm(state: State, confirmation: states.Confirmation): Result {
    if (confirmation.revision > state.inForce) {
        return { state: { ...state, pending: confirmation }, actions: [] };
    }
    const confirmedAt = Math.max(state.confirmedAt ?? -Infinity, confirmation.at);
    const pending = state.pending && state.pending.revision <= state.inForce ? undefined : state.pending;
    return { state: { ...state, confirmedAt, pending }, actions: [] };
}

function peerAsked(
    state: State,
    event: Event<events.PropagationEventKind.PeerAsked>,
    now: decision.Milliseconds,
): Result {
    const { peer, exchange } = event;
    const known = Math.max(state.known, event.revision);
    const age = states.confirmationAge(state, now);
    const reply: events.PropagationAction = {
        kind: events.PropagationActionKind.Reply,
        peer,
        exchange,
        inForce: state.inForce,
        revision: known,
        confirmedAgoMs: age <= states.KEYS_FRESH_MS ? age : undefined,
        witnesses: event.withWitnesses ? freshestWitnesses(state, now) : [],
    };
    const soon = known > state.inForce ? now + CUT_OFF_EXCHANGE_PERIOD_MS : Infinity;
    const exchangeAgainAt = Math.min(state.exchangeAgainAt, soon);
    return { state: { ...state, known, exchangeAgainAt }, actions: [reply] };
}

function freshestWitnesses(state: State, now: decision.Milliseconds): events.Witness[] {
    const limit = Math.ceil(state.roster.length * WITNESS_SHARE);
    return Object.entries(state.witnesses)
        .map(([host, at]) => ({ host, agoMs: now - at }))
        .filter((witness) => witness.agoMs <= states.KEYS_FRESH_MS)
        .sort((left, right) => left.agoMs - right.agoMs)
        .slice(0, limit);
}

/** Takes in a reply to the latest exchange; everything in it counts from when this host asked. */
function peerReplied(
    state: State,
    event: Event<events.PropagationEventKind.PeerReplied>,
    now: decision.Milliseconds,
): Result {
    if (event.exchange !== state.exchange) {
        return decision.unchanged(state);
    }
    const askedAt = state.exchangeAskedAt;
    const known = Math.max(state.known, event.revision);
    const witnessed: State = { ...state, known, witnesses: addWitnesses(state, event, askedAt, now) };
    const mayFetch = state.inForce > 0 || now - state.startedAt >= GATHER_MS;
    const heard = event.inForce > state.inForce && mayFetch
        ? hear(witnessed, event.inForce, event.peer)
        : decision.unchanged<State, events.PropagationAction>(witnessed);
    const { confirmedAgoMs } = event;
    return confirmedAgoMs === undefined
        ? heard
        : then(heard, (next) => confirm(next, { revision: event.inForce, at: askedAt - confirmedAgoMs }));
}

function addWitnesses(
    state: State,
    event: Event<events.PropagationEventKind.PeerReplied>,
    askedAt: decision.Milliseconds,
    now: decision.Milliseconds,
): State["witnesses"] {
    const witnesses: Record<string, decision.Milliseconds> = {};
    for (const [host, at] of Object.entries(state.witnesses)) {
        if (now - at <= states.KEYS_FRESH_MS) {
            witnesses[host] = at;
        }
    }
    const self = event.inForce > 0 ? [{ host: event.peer, agoMs: 0 }] : [];
    for (const { host, agoMs } of [...self, ...event.witnesses]) {
        witnesses[host] = Math.max(witnesses[host] ?? -Infinity, askedAt - agoMs);
    }
    return witnesses;
}

function then(first: Result, next: (state: State) => Result): Result {
    const second = next(first.state);
    return { state: second.state, actions: [...first.actions, ...second.actions] };
}

function chain(state: State, steps: readonly ((state: State) => Result)[]): Result {
    return steps.reduce<Result>((result, step) => then(result, step), decision.unchanged(state));
}
