import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "./context.js";

/** An upstream as this router knows it. */
export interface KnownUpstream extends platform.ListedHost {
    /** The latest load report of a model engine; plain services send none. */
    readonly load?: upstream.LoadReport;
    /** When the report arrived, on this process's clock. */
    readonly loadReadAt?: decision.Milliseconds;
}

/** The upstreams by what the list, their reports and their own refusals say. */
export interface Upstreams {
    /** Whether an upstream leaves, by the list, its own report or its refusals. */
    readonly leaves: (host: platform.ListedHost) => boolean;
    /** Whether an upstream is listed and takes new work: it neither leaves nor is held back. */
    readonly takesWork: (name: string) => boolean;
    /** Those of a pool that take new work. */
    readonly usable: (pool: string) => readonly KnownUpstream[];
    /** All of a pool, departing ones included. */
    readonly all: (pool: string) => readonly KnownUpstream[];
    readonly find: (name: string) => KnownUpstream | undefined;
    /** Takes note that an upstream itself said that it leaves. */
    readonly noteDeparting: (name: string) => void;
    /** Takes in a load report, from the upstream or from the host that owns it. */
    readonly noteLoad: (name: string, report: upstream.LoadReport) => void;
    /** Asks at each use for the names of upstreams that get no new work while an order to them is prepared. */
    readonly holdBack: (names: () => ReadonlySet<string>) => void;
    /** Calls back after each change of the list. */
    readonly onChange: (listener: () => void) => void;
}

/** Follows the platform's list of upstream hosts. */
export function followUpstreams(context: contexts.Context): Upstreams {
    let listed: readonly platform.ListedHost[] = [];
    const departing = new Set<string>();
    const loads = new Map<string, { report: upstream.LoadReport; at: decision.Milliseconds; }>();
    const listeners: (() => void)[] = [];
    let heldBack: () => ReadonlySet<string> = () => new Set();
    const { platform: where } = context.settings;
    const readHosts = platform.followHosts(where.hostList, where.timeout, context.control.agent);
    const refresh = async () => {
        const outcome = await readHosts();
        if (outcome.effect !== decision.Effect.Known) {
            context.log.warn({ reason: outcome.reason }, "host list not read");
            return;
        }
        if (listed === outcome.value) {
            return;
        }
        listed = outcome.value;
        const names = new Set(listed.map((host) => host.name));
        [...departing].filter((name) => !names.has(name)).forEach((name) => departing.delete(name));
        [...loads.keys()].filter((name) => !names.has(name)).forEach((name) => loads.delete(name));
        listeners.forEach((listener) => listener());
    };
    void refresh();
    lifecycle.every(context.scope, context.settings.platform.hostListPeriod, () => void refresh());
    const describe = (host: platform.ListedHost): KnownUpstream => {
        const load = loads.get(host.name);
        return { ...host, load: load?.report, loadReadAt: load?.at };
    };
    const leaves = (host: platform.ListedHost) =>
        host.state === platform.ListedState.Departing
        || departing.has(host.name)
        || loads.get(host.name)?.report.departing === true;
    const all = (pool: string) => listed.filter((host) => host.pool === pool);
    return {
        leaves,
        takesWork: (name) => {
            const host = listed.find((one) => one.name === name);
            return host !== undefined && !leaves(host) && !heldBack().has(name);
        },
        usable: (pool) => {
            const held = heldBack();
            return all(pool).filter((host) => !leaves(host) && !held.has(host.name)).map(describe);
        },
        all: (pool) => all(pool).map(describe),
        find: (name) => listed.filter((host) => host.name === name).map(describe)[0],
        noteDeparting: (name) => departing.add(name),
        noteLoad: (name, report) => {
            const former = loads.get(name)?.report;
            if (former && former.incarnation !== report.incarnation && !report.departing) {
                // The one that said that it leaves has been replaced.
                departing.delete(name);
            }
            if (former?.incarnation !== report.incarnation || former.sequence < report.sequence) {
                loads.set(name, { report, at: context.clock() });
            }
        },
        holdBack: (names) => {
            heldBack = names;
        },
        onChange: (listener) => listeners.push(listener),
    };
}
