import type * as decision from "@citronlead/decision";
import * as leases from "./lease.js";
import * as placement from "./placement.js";
import * as records from "./records.js";
import * as states from "./state.js";

type FirstTimes = Readonly<Record<string, decision.Milliseconds>>;

/** Identifies one session of a host: its record from one join until it leaves or is taken over. */
export function sessionKey({ host, session }: records.Successor): string {
    return `${host}@${session}`;
}

/** Applies a view of the key-value service, except for the parts of it that are older than those known. */
export function applyView(
    state: states.MemberState,
    read: records.View,
    now: decision.Milliseconds,
): states.MemberState {
    const view = mergeNewest(state.view, read);
    const withView = { ...state, view, desiredOwners: updateDesiredOwners(state, view) };
    const withOwnRecord = applyOwnRecord(withView, now);
    return pruneHandOver({
        ...withOwnRecord,
        withoutLeaseSince: findWithoutLeaseSince(state.withoutLeaseSince, view, now),
        successorGoneSince: findSuccessorGoneSince(state.successorGoneSince, view, now),
        refusedVersions: keepCurrentVersions(state.refusedVersions, view),
        consents: keepCurrentVersions(state.consents, view),
    });
}

/** Merges two views. Hosts and table are read and watched separately, so each is taken from the newer one. */
function mergeNewest(former: records.View, read: records.View): records.View {
    const hosts = read.hostsRevision >= former.hostsRevision ? read : former;
    const table = read.tableRevision >= former.tableRevision ? read : former;
    return {
        hostsRevision: hosts.hostsRevision,
        hosts: hosts.hosts,
        tableRevision: table.tableRevision,
        tableVersion: table.tableVersion,
        table: table.table,
    };
}

function updateDesiredOwners(
    state: states.MemberState,
    view: records.View,
): Readonly<Record<string, records.HostRecord>> {
    const sessionKeys = (hosts: records.View["hosts"]) =>
        Object.values(hosts).map((observed) => sessionKey(observed.record)).join();
    return sessionKeys(view.hosts) === sessionKeys(state.view.hosts)
        ? state.desiredOwners
        : placement.desiredOwners(state.settings.partitions, records.registeredHosts(view));
}

/** Updates the entry of this process. A new session starts without a right to act, and a lost record ends it. */
function applyOwnRecord(state: states.MemberState, now: decision.Milliseconds): states.MemberState {
    const { settings, view, lease: held } = state;
    const observed = view.hosts[settings.host];
    const ownEntry = observed?.record.incarnation === settings.incarnation ? observed : undefined;
    if (ownEntry?.record.session !== state.own?.record.session) {
        const reset: states.MemberState = {
            ...state,
            own: ownEntry,
            joinRevision: ownEntry?.version ?? Infinity,
            lease: held && { ...held, attached: false },
            leaseUntil: -Infinity,
            successorLease: undefined,
            pendingRequests: [],
            supersededVersion: undefined,
            rewriteNeeded: false,
            handOver: undefined,
            nextRequestAt: now,
        };
        return ownEntry ? markIfAttached(reset, ownEntry, now) : reset;
    }
    if (ownEntry && ownEntry.version !== state.own?.version) {
        const changed = { ...state, own: ownEntry, nextRequestAt: now, rewriteNeeded: false };
        return markIfAttached(changed, ownEntry, now);
    }
    return ownEntry ? markIfAttached({ ...state, own: ownEntry }, ownEntry, now) : state;
}

function markIfAttached(
    state: states.MemberState,
    ownEntry: records.ObservedHost,
    now: decision.Milliseconds,
): states.MemberState {
    return ownEntry.leaseId !== undefined && ownEntry.leaseId === state.lease?.id
        ? leases.markLeaseAttached(state, now)
        : state;
}

/** Keeps the time of each key that is still present, sets it to now for new keys, and drops all others. */
function keepFirstTimes(former: FirstTimes, keys: readonly string[], now: decision.Milliseconds): FirstTimes {
    return Object.fromEntries(keys.map((key) => [key, former[key] ?? now]));
}

function findWithoutLeaseSince(former: FirstTimes, view: records.View, now: decision.Milliseconds): FirstTimes {
    const withoutLease = Object.values(view.hosts).filter((observed) => observed.leaseId === undefined);
    return keepFirstTimes(former, withoutLease.map((observed) => sessionKey(observed.record)), now);
}

function findSuccessorGoneSince(former: FirstTimes, view: records.View, now: decision.Milliseconds): FirstTimes {
    const named = Object.values(view.hosts).flatMap((observed) => observed.record.successors);
    const gone = named.filter((successor) => !records.isSessionRegistered(view, successor));
    return keepFirstTimes(former, gone.map(sessionKey), now);
}

/**
 * Drops refusals and consents for old versions of a record: no takeover under an old version can take effect any more.
 */
function keepCurrentVersions<Item extends { readonly version: number; }>(
    items: Readonly<Record<string, Item>>,
    view: records.View,
): Readonly<Record<string, Item>> {
    const entries = Object.entries(items);
    const current = entries.filter(([host, item]) => records.recordVersionOf(view, host) === item.version);
    return current.length === entries.length ? items : Object.fromEntries(current);
}

/** Drops partitions that the table assigns to another process, or whose next owner is gone, from the hand-over. */
function pruneHandOver(state: states.MemberState): states.MemberState {
    const { handOver, view, settings, pendingWrite } = state;
    if (
        !handOver || pendingWrite?.purpose === states.WritePurpose.HandOver
        || pendingWrite?.purpose === states.WritePurpose.Leave
    ) {
        return state;
    }
    const open = Object.entries(handOver.next).filter(([partition, next]) => {
        const owner = view.table[partition];
        const owned = owner?.host === settings.host && owner.incarnation === settings.incarnation;
        return owned && records.isRegistered(view, next);
    });
    if (open.length === 0 && !state.stopping) {
        return { ...state, handOver: undefined };
    }
    return open.length === Object.keys(handOver.next).length
        ? state
        : { ...state, handOver: { ...handOver, next: Object.fromEntries(open) } };
}
