import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import type * as actions from "./actions.js";
import * as events from "./events.js";
import * as messages from "./messages.js";
import * as owners from "./owner.js";
import * as requesters from "./requester.js";
import * as sharded from "./sharded.js";
import type * as terms from "./terms.js";

/** What the module is started with. */
export interface Settings {
    readonly host: string;
}

/** What a host keeps about rates: as the owner of slices, and for its own requests. */
export interface State {
    readonly host: string;
    readonly owner: owners.OwnerState;
    readonly requests: requesters.Requests;
}

/** The state before the first event. */
export function start(settings: Settings): State {
    return { host: settings.host, owner: owners.startOwner(), requests: requesters.noRequests() };
}

/** Decides about one event. */
export function decide(
    state: State,
    event: events.Event,
    now: decision.Milliseconds,
): decision.Transaction<State, actions.Action> {
    const asOwner = (step: owners.OwnerStep) => ({ state: { ...state, owner: step.state }, actions: step.actions });
    const asRequester = (step: requesters.RequesterStep) => ({
        state: { ...state, requests: step.requests },
        actions: step.actions,
    });
    switch (event.kind) {
        case events.EventKind.Configuration: {
            const buckets = groupByBucket(event.workspaces);
            return asOwner(owners.applyConfiguration(state.owner, event.revision, buckets, now));
        }
        case events.EventKind.Own:
            return asOwner(owners.own(state.owner, event, now));
        case events.EventKind.HandOver:
            return asOwner(owners.handOver(state.owner, event, now));
        case events.EventKind.Message: {
            const { message } = event;
            return message.kind === messages.MessageKind.ChargeReply
                ? asRequester(requesters.takeReply(state.requests, event.from, message, now))
                : asOwner(owners.take(state.owner, events.partitionOf(message) ?? "", event, now));
        }
        case events.EventKind.Wake:
            return sharded.find(state.owner.partitions, event.subject) !== undefined
                ? asOwner(owners.wake(state.owner, event.subject, event.right, now))
                : asRequester(requesters.wake(state.requests, event.subject, now));
        case events.EventKind.Wish:
            return asRequester(requesters.wish(state.requests, event, now));
        case events.EventKind.Leave:
            return asRequester(requesters.leave(state.requests, event.requestId, now));
        case events.EventKind.Settle:
            return asRequester(requesters.settle(state.requests, event, now));
    }
}

function groupByBucket(
    workspaces: Readonly<Record<string, terms.Terms>>,
): ReadonlyMap<string, ReadonlyMap<string, terms.Terms>> {
    const buckets = new Map<string, Map<string, terms.Terms>>();
    for (const [workspace, whole] of Object.entries(workspaces)) {
        const bucket = String(membership.hashNumber(workspace) % membership.BUCKET_COUNT);
        const group = buckets.get(bucket) ?? new Map<string, terms.Terms>();
        buckets.set(bucket, group.set(workspace, whole));
    }
    return buckets;
}

/** Decides about workspaces' rates on one host. */
export const admissionModule: decision.DecisionModule<Settings, State, events.Event, actions.Action> = {
    name: "admission",
    start: (settings) => start(settings),
    decide,
};
