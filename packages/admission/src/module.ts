import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import type * as actions from "./actions.js";
import * as events from "./events.js";
import * as messages from "./messages.js";
import * as owners from "./owner.js";
import type * as rateLimits from "./ratelimit.js";
import * as requesters from "./requester.js";
import * as sharded from "./shardedmap.js";

export interface Settings {
    readonly host: string;
}

/** The admission state of a host: as an owner of slices, and for its own requests. */
export interface State {
    readonly host: string;
    readonly owner: owners.OwnerState;
    readonly requests: requesters.Requests;
}

export function start(settings: Settings): State {
    return { host: settings.host, owner: owners.startOwner(), requests: requesters.noRequests() };
}

export function decide(
    state: State,
    event: events.Event,
    now: decision.Milliseconds,
): decision.Transition<State, actions.Action> {
    const asOwner = (step: owners.OwnerStep) => ({ state: { ...state, owner: step.state }, actions: step.actions });
    const asRequester = (step: requesters.RequesterStep) => ({
        state: { ...state, requests: step.requests },
        actions: step.actions,
    });
    switch (event.kind) {
        case events.EventKind.Configuration: {
            const rateLimitsByHashBucket = groupByHashBucket(event.workspaces);
            return asOwner(owners.applyConfiguration(state.owner, event.revision, rateLimitsByHashBucket, now));
        }
        case events.EventKind.OwnershipGained:
            return asOwner(owners.gainOwnership(state.owner, event, now));
        case events.EventKind.HandOver:
            return asOwner(owners.handOver(state.owner, event, now));
        case events.EventKind.Message: {
            const { message } = event;
            return message.kind === messages.MessageKind.ChargeReply
                ? asRequester(requesters.handleReply(state.requests, event.from, message, now))
                : asOwner(owners.receiveMessage(state.owner, events.partitionOf(message) ?? "", event, now));
        }
        case events.EventKind.Wake:
            return sharded.find(state.owner.partitions, event.subject) !== undefined
                ? asOwner(owners.wake(state.owner, event.subject, event.right, now))
                : asRequester(requesters.wake(state.requests, event.subject, now));
        case events.EventKind.AdmissionRequest:
            return asRequester(requesters.startRequest(state.requests, event, now));
        case events.EventKind.Cancel:
            return asRequester(requesters.cancelRequest(state.requests, event.requestId, now));
        case events.EventKind.Settle:
            return asRequester(requesters.settle(state.requests, event, now));
    }
}

function groupByHashBucket(
    workspaces: Readonly<Record<string, rateLimits.RateLimit>>,
): ReadonlyMap<string, ReadonlyMap<string, rateLimits.RateLimit>> {
    const rateLimitsByHashBucket = new Map<string, Map<string, rateLimits.RateLimit>>();
    for (const [workspace, rateLimit] of Object.entries(workspaces)) {
        const hashBucket = String(membership.stableHash(workspace) % membership.BUCKET_COUNT);
        const group = rateLimitsByHashBucket.get(hashBucket) ?? new Map<string, rateLimits.RateLimit>();
        rateLimitsByHashBucket.set(hashBucket, group.set(workspace, rateLimit));
    }
    return rateLimitsByHashBucket;
}

/** Decides on one host which requests are admitted within the rates of their workspaces. */
export const admissionModule: decision.DecisionModule<Settings, State, events.Event, actions.Action> = {
    name: "admission",
    start: (settings) => start(settings),
    decide,
};
