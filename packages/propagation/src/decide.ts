import * as decision from "@citronlead/decision";
import * as events from "./events.js";
import * as states from "./state.js";

type State = states.PropagationState;
type Transition = decision.Transition<State, events.PropagationAction>;

/** The head is read from the key-value service when the latest confirmation is older than this. */
const HEAD_READ_AFTER_MS = 2_000;
const MIN_HEAD_READ_INTERVAL_MS = 1_000;
const WATCH_RETRY_DELAY_MS = 1_000;
const EXCHANGE_INTERVAL_MS = 2_000;
/**
 * Without a recent confirmation hosts exchange more often, so that the witnesses of more than half of the roster arrive
 * within MAX_KEY_STALENESS_MS.
 */
const STALE_EXCHANGE_INTERVAL_MS = 500;
const STALE_AFTER_MS = 2_000;
/** A host that starts collects replies of several peers for this long before it fetches the configuration from one. */
const STARTUP_GATHER_MS = 1_500;
/** The maximum number of witnesses in one reply, as a fraction of the roster; the most recent are sent. */
const WITNESS_SHARE = 0.6;
/**
 * Fetches of a new revision are spread over this time multiplied by the size of the roster, up to MAX_FETCH_SPREAD_MS.
 */
const FETCH_SPREAD_MS_PER_HOST = 2;
const MAX_FETCH_SPREAD_MS = 800;

/** Decides which revision of the configuration one host fetches and puts in force. See docs/design/configuration.md. */
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
        highestKnown: 0,
        confirmedAt: undefined,
        pendingConfirmation: undefined,
        watching: false,
        nextWatchAt: now,
        readingHead: false,
        nextHeadReadAt: now,
        fetchingRevision: undefined,
        exchange: 0,
        exchangeStartedAt: now,
        nextExchangeAt: now,
        witnesses: {},
    }),
    decide: (state, event, now) => {
        const next = decide(state, event, now);
        decision.invariant(next.state.inForce >= state.inForce, "the revision in force never decreases");
        decision.invariant(
            next.state.highestKnown >= next.state.inForce,
            "the highest known revision is not below the one in force",
        );
        return next;
    },
};

function decide(state: State, event: events.PropagationEvent, now: decision.Milliseconds): Transition {
    const { PropagationEventKind } = events;
    switch (event.kind) {
        case PropagationEventKind.Tick:
            return tick(state, now);
        case PropagationEventKind.RosterChanged:
            return { state: { ...state, roster: event.roster }, actions: [] };
        case PropagationEventKind.HeadRead:
            return applyHeadRead({ ...state, readingHead: false }, event);
        case PropagationEventKind.HeadReadFailed:
            return { state: { ...state, readingHead: false }, actions: [] };
        case PropagationEventKind.WatchNotified:
            return noteRevision(state, event.revision, undefined);
        case PropagationEventKind.WatchEnded:
            return { state: { ...state, watching: false, nextWatchAt: now + WATCH_RETRY_DELAY_MS }, actions: [] };
        case PropagationEventKind.Fetched:
            return applyFetchedRevision(state, event.revision);
        case PropagationEventKind.FetchFailed:
            return { state: clearFetch(state), actions: [] };
        case PropagationEventKind.RevisionRequestReceived:
            return answerRevisionRequest(state, event, now);
        case PropagationEventKind.RevisionReplyReceived:
            return applyRevisionReply(state, event, now);
    }
}

type Event<Kind extends events.PropagationEventKind> = Extract<events.PropagationEvent, { kind: Kind; }>;

function tick(state: State, now: decision.Milliseconds): Transition {
    return chain(state, [
        (current) => startWatchIfDue(current, now),
        (current) => readHeadIfDue(current, now),
        (current) => exchangeIfDue(current, now),
    ]);
}

function startWatchIfDue(state: State, now: decision.Milliseconds): Transition {
    if (state.watching || now < state.nextWatchAt) {
        return decision.withoutActions(state);
    }
    return { state: { ...state, watching: true }, actions: [{ kind: events.PropagationActionKind.Watch }] };
}

/** Reads the head when the latest confirmation is too old, or when a newer revision is known but not being fetched. */
function readHeadIfDue(state: State, now: decision.Milliseconds): Transition {
    const missing = state.highestKnown > state.inForce && state.fetchingRevision === undefined;
    const readDue = missing || states.confirmationAge(state, now) >= HEAD_READ_AFTER_MS;
    if (!readDue || state.readingHead || now < state.nextHeadReadAt) {
        return decision.withoutActions(state);
    }
    return {
        state: { ...state, readingHead: true, nextHeadReadAt: now + MIN_HEAD_READ_INTERVAL_MS },
        actions: [{ kind: events.PropagationActionKind.ReadHead }],
    };
}

function exchangeIfDue(state: State, now: decision.Milliseconds): Transition {
    const peer = now < state.nextExchangeAt ? undefined : nextPeer(state);
    if (peer === undefined) {
        return decision.withoutActions(state);
    }
    const stale = states.confirmationAge(state, now) >= STALE_AFTER_MS || state.highestKnown > state.inForce;
    const exchange = state.exchange + 1;
    return {
        state: {
            ...state,
            exchange,
            exchangeStartedAt: now,
            nextExchangeAt: now + (stale ? STALE_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS),
        },
        actions: [{
            kind: events.PropagationActionKind.SendRevisionRequest,
            peer,
            exchange,
            revision: state.highestKnown,
            withWitnesses: stale,
        }],
    };
}

/**
 * Picks peers at roster distances 1, 2, 4 and so on in turn. If all hosts do so, the number of hosts that a host has
 * information about doubles with each exchange.
 */
function nextPeer(state: State): string | undefined {
    const { roster, host } = state;
    const ownIndex = roster.findIndex((entry) => entry.host === host);
    if (roster.length < 2 || ownIndex < 0) {
        return undefined;
    }
    const distances = Math.ceil(Math.log2(roster.length));
    const distance = 2 ** (state.exchange % distances);
    return roster[(ownIndex + distance) % roster.length]?.host;
}

function applyHeadRead(state: State, event: Event<events.PropagationEventKind.HeadRead>): Transition {
    if (event.revision < state.highestKnown) {
        return decision.withoutActions(state);
    }
    const noted = noteRevision(state, event.revision, undefined);
    return andThen(noted, (next) => applyConfirmation(next, { revision: event.revision, at: event.askedAt }));
}

/** Notes a revision and fetches it, from the given peer or the key-value service, unless a fetch is in progress. */
function noteRevision(state: State, revision: number, peer: string | undefined): Transition {
    const next = { ...state, highestKnown: Math.max(state.highestKnown, revision) };
    if (revision <= state.inForce || state.fetchingRevision !== undefined) {
        return { state: next, actions: [] };
    }
    return {
        state: { ...next, fetchingRevision: revision },
        actions: [{ kind: events.PropagationActionKind.Fetch, revision, from: peer, afterMs: fetchDelay(state) }],
    };
}

/** Delays fetches by the position of the host in the roster, so that the hosts do not all fetch at once. */
function fetchDelay(state: State): decision.Milliseconds {
    const position = state.roster.findIndex((entry) => entry.host === state.host);
    const maxDelayMs = Math.min(MAX_FETCH_SPREAD_MS, state.roster.length * FETCH_SPREAD_MS_PER_HOST);
    return Math.round((Math.max(0, position) / Math.max(1, state.roster.length)) * maxDelayMs);
}

function applyFetchedRevision(state: State, revision: number): Transition {
    const withoutFetch = clearFetch(state);
    if (revision <= state.inForce) {
        return { state: withoutFetch, actions: [] };
    }
    const withRevision = {
        ...withoutFetch,
        inForce: revision,
        highestKnown: Math.max(withoutFetch.highestKnown, revision),
    };
    const putInForce: Transition = {
        state: withRevision,
        actions: [{ kind: events.PropagationActionKind.PutInForce, revision }],
    };
    return andThen(
        putInForce,
        (next) =>
            next.pendingConfirmation
                ? applyConfirmation(next, next.pendingConfirmation)
                : decision.withoutActions(next),
    );
}

/** Marks the only fetch as ended. It may have delivered a different revision from the requested one. */
function clearFetch(state: State): State {
    return { ...state, fetchingRevision: undefined };
}

/** Applies a confirmation, or keeps it until its revision is in force. */
function applyConfirmation(state: State, confirmation: states.Confirmation): Transition {
    if (confirmation.revision > state.inForce) {
        return { state: { ...state, pendingConfirmation: confirmation }, actions: [] };
    }
    const confirmedAt = Math.max(state.confirmedAt ?? -Infinity, confirmation.at);
    const pendingConfirmation = state.pendingConfirmation && state.pendingConfirmation.revision <= state.inForce
        ? undefined
        : state.pendingConfirmation;
    return { state: { ...state, confirmedAt, pendingConfirmation }, actions: [] };
}

function answerRevisionRequest(
    state: State,
    event: Event<events.PropagationEventKind.RevisionRequestReceived>,
    now: decision.Milliseconds,
): Transition {
    const { peer, exchange } = event;
    const highestKnown = Math.max(state.highestKnown, event.revision);
    const age = states.confirmationAge(state, now);
    const reply: events.PropagationAction = {
        kind: events.PropagationActionKind.SendRevisionReply,
        peer,
        exchange,
        inForce: state.inForce,
        revision: highestKnown,
        confirmedAgoMs: age <= states.MAX_KEY_STALENESS_MS ? age : undefined,
        witnesses: event.withWitnesses ? freshestWitnesses(state, now) : [],
    };
    const staleExchangeAt = highestKnown > state.inForce ? now + STALE_EXCHANGE_INTERVAL_MS : Infinity;
    const nextExchangeAt = Math.min(state.nextExchangeAt, staleExchangeAt);
    return { state: { ...state, highestKnown, nextExchangeAt }, actions: [reply] };
}

function freshestWitnesses(state: State, now: decision.Milliseconds): events.Witness[] {
    const limit = Math.ceil(state.roster.length * WITNESS_SHARE);
    return Object.entries(state.witnesses)
        .map(([host, at]) => ({ host, agoMs: now - at }))
        .filter((witness) => witness.agoMs <= states.MAX_KEY_STALENESS_MS)
        .sort((left, right) => left.agoMs - right.agoMs)
        .slice(0, limit);
}

/**
 * Applies a reply to the latest exchange. Its ages are counted back from the time of the request, because the reply
 * says nothing about any later time.
 */
function applyRevisionReply(
    state: State,
    event: Event<events.PropagationEventKind.RevisionReplyReceived>,
    now: decision.Milliseconds,
): Transition {
    if (event.exchange !== state.exchange) {
        return decision.withoutActions(state);
    }
    const requestedAt = state.exchangeStartedAt;
    const highestKnown = Math.max(state.highestKnown, event.revision);
    const witnessed: State = { ...state, highestKnown, witnesses: mergeWitnesses(state, event, requestedAt, now) };
    const mayFetch = state.inForce > 0 || now - state.startedAt >= STARTUP_GATHER_MS;
    const noted = event.inForce > state.inForce && mayFetch
        ? noteRevision(witnessed, event.inForce, event.peer)
        : decision.withoutActions<State, events.PropagationAction>(witnessed);
    const { confirmedAgoMs } = event;
    return confirmedAgoMs === undefined
        ? noted
        : andThen(
            noted,
            (next) => applyConfirmation(next, { revision: event.inForce, at: requestedAt - confirmedAgoMs }),
        );
}

function mergeWitnesses(
    state: State,
    event: Event<events.PropagationEventKind.RevisionReplyReceived>,
    requestedAt: decision.Milliseconds,
    now: decision.Milliseconds,
): State["witnesses"] {
    const witnesses: Record<string, decision.Milliseconds> = {};
    for (const [host, at] of Object.entries(state.witnesses)) {
        if (now - at <= states.MAX_KEY_STALENESS_MS) {
            witnesses[host] = at;
        }
    }
    const peerWitness = event.inForce > 0 ? [{ host: event.peer, agoMs: 0 }] : [];
    for (const { host, agoMs } of [...peerWitness, ...event.witnesses]) {
        witnesses[host] = Math.max(witnesses[host] ?? -Infinity, requestedAt - agoMs);
    }
    return witnesses;
}

function andThen(first: Transition, next: (state: State) => Transition): Transition {
    const second = next(first.state);
    return { state: second.state, actions: [...first.actions, ...second.actions] };
}

function chain(state: State, steps: readonly ((state: State) => Transition)[]): Transition {
    return steps.reduce<Transition>((result, step) => andThen(result, step), decision.withoutActions(state));
}
