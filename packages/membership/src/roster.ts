import type * as decision from "@citronlead/decision";
import * as lease from "./lease.js";
import * as records from "./records.js";
import * as states from "./state.js";
import * as wanted from "./wanted.js";

type Times = Readonly<Record<string, decision.Milliseconds>>;

/** Names one stay of a host in the roster. */
export function stayOf({ host, session }: records.Successor): string {
    return `${host}@${session}`;
}

/** Takes in what was read from the key-value service, unless something newer was read before. */
export function takeView(
    state: states.MemberState,
    read: records.View,
    now: decision.Milliseconds,
): states.MemberState {
    const view = newest(state.view, read);
    const seen = { ...state, view, wanted: wantedOwners(state, view) };
    const stays = withOwnRecord(seen, now);
    return dropSettledHandOver({
        ...stays,
        unleasedSince: unleasedSince(state.unleasedSince, view, now),
        goneSince: goneSince(state.goneSince, view, now),
        refusing: ofThisVersion(state.refusing, view),
        consents: ofThisVersion(state.consents, view),
    });
}

/** Hosts and table are read and watched apart, so each is replaced only by what is newer. */
function newest(former: records.View, read: records.View): records.View {
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

function wantedOwners(
    state: states.MemberState,
    view: records.View,
): Readonly<Record<string, records.HostRecord>> {
    const stays = (hosts: records.View["hosts"]) => Object.values(hosts).map((seen) => stayOf(seen.record)).join();
    return stays(view.hosts) === stays(state.view.hosts)
        ? state.wanted
        : wanted.wantedOwners(state.settings.partitions, records.presentHosts(view));
}

/** Follows this host's own record: a new stay begins without any right, and what is gone takes all rights along. */
function withOwnRecord(state: states.MemberState, now: decision.Milliseconds): states.MemberState {
    const { settings, view, lease: held } = state;
    const seen = view.hosts[settings.host];
    const own = seen?.record.incarnation === settings.incarnation ? seen : undefined;
    if (own?.record.session !== state.own?.record.session) {
        const fresh: states.MemberState = {
            ...state,
            own,
            joinedAt: own?.version ?? Infinity,
            lease: held && { ...held, attached: false },
            leaseUntil: -Infinity,
            promised: undefined,
            asks: [],
            barredVersion: undefined,
            rewriteWanted: false,
            handOver: undefined,
            nextAskAt: now,
        };
        return own ? countAttached(fresh, own, now) : fresh;
    }
    if (own && own.version !== state.own?.version) {
        const changed = { ...state, own, nextAskAt: now, rewriteWanted: false };
        return countAttached(changed, own, now);
    }
    return own ? countAttached({ ...state, own }, own, now) : state;
}

function countAttached(
    state: states.MemberState,
    own: records.SeenHost,
    now: decision.Milliseconds,
): states.MemberState {
    return own.leaseId !== undefined && own.leaseId === state.lease?.id ? lease.attachLease(state, now) : state;
}

/** The entries of the time at which something was first seen, for what is still so. */
function keepFirst(former: Times, stays: readonly string[], now: decision.Milliseconds): Times {
    return Object.fromEntries(stays.map((stay) => [stay, former[stay] ?? now]));
}

function unleasedSince(former: Times, view: records.View, now: decision.Milliseconds): Times {
    const unleased = Object.values(view.hosts).filter((seen) => seen.leaseId === undefined);
    return keepFirst(former, unleased.map((seen) => stayOf(seen.record)), now);
}

function goneSince(former: Times, view: records.View, now: decision.Milliseconds): Times {
    const named = Object.values(view.hosts).flatMap((seen) => seen.record.successors);
    const gone = named.filter((successor) => !records.isThere(view, successor));
    return keepFirst(former, gone.map(stayOf), now);
}

/**
 * Refusals and consents end when the record has a newer version: no takeover of the former one can take effect any more.
 */
function ofThisVersion<Item extends { readonly version: number; }>(
    items: Readonly<Record<string, Item>>,
    view: records.View,
): Readonly<Record<string, Item>> {
    const entries = Object.entries(items);
    const still = entries.filter(([host, item]) => records.versionOf(view, host) === item.version);
    return still.length === entries.length ? items : Object.fromEntries(still);
}

/** Forgets the partitions that the table gives to others, and those whose next owner is gone. */
function dropSettledHandOver(state: states.MemberState): states.MemberState {
    const { handOver, view, settings, swapCall } = state;
    if (!handOver || swapCall?.purpose === states.Purpose.HandOver || swapCall?.purpose === states.Purpose.Leave) {
        return state;
    }
    const open = Object.entries(handOver.next).filter(([partition, next]) => {
        const owner = view.table[partition];
        const owned = owner?.host === settings.host && owner.incarnation === settings.incarnation;
        return owned && records.isPresent(view, next);
    });
    if (open.length === 0 && !state.stopping) {
        return { ...state, handOver: undefined };
    }
    return open.length === Object.keys(handOver.next).length
        ? state
        : { ...state, handOver: { ...handOver, next: Object.fromEntries(open) } };
}
