import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "./context.js";

/** An upstream with its listing and its latest load report. */
export interface KnownUpstream extends platform.ListedUpstream {
    /** The latest load report of a model engine; plain services send none. */
    readonly load?: upstream.LoadReport;
    /** When the report was received, on this process's clock. */
    readonly loadReadAt?: decision.Milliseconds;
}

/** Tracks the state of the upstreams from the platform's list, their load reports and their refusals. */
export interface Upstreams {
    /** Whether an upstream is departing according to the list, its load report or a refusal. */
    readonly isDeparting: (entry: platform.ListedUpstream) => boolean;
    /** Whether an upstream is listed and may get new work: it is neither departing nor excluded. */
    readonly isUsable: (name: string) => boolean;
    /** The upstreams of a pool that may get new work. */
    readonly usable: (pool: string) => readonly KnownUpstream[];
    /** All listed upstreams of a pool, departing and excluded ones too. */
    readonly all: (pool: string) => readonly KnownUpstream[];
    readonly find: (name: string) => KnownUpstream | undefined;
    /** Records that an upstream refused a call because it is departing. */
    readonly markDeparting: (name: string) => void;
    /** Records a load report that this host read. One that is older than the last is ignored. */
    readonly recordLoad: (name: string, report: upstream.LoadReport) => void;
    /**
     * Sets the function that names the upstreams excluded from new work because an order to them is prepared or
     * carried out. It is called at each use.
     */
    readonly setExclusionSource: (names: () => ReadonlySet<string>) => void;
    /** Adds a listener that is called after each change of the list. */
    readonly onChange: (listener: () => void) => void;
}

/** Follows the platform's list of upstream hosts. */
export function followUpstreams(context: contexts.Context): Upstreams {
    let listed: readonly platform.ListedUpstream[] = [];
    const departing = new Set<string>();
    const loads = new Map<string, { report: upstream.LoadReport; at: decision.Milliseconds; }>();
    const listeners: (() => void)[] = [];
    let excludedNames: () => ReadonlySet<string> = () => new Set();
    const { platform: platformSettings } = context.settings;
    const readList = platform.followUpstreamList(
        platformSettings.hostList,
        platformSettings.timeout,
        context.control.agent,
    );
    const refresh = async () => {
        const outcome = await readList();
        if (outcome.effect !== decision.Effect.Known) {
            context.log.warn({ reason: outcome.reason }, "could not read the list of upstreams");
            return;
        }
        if (listed === outcome.value) {
            return;
        }
        listed = outcome.value;
        const names = new Set(listed.map((entry) => entry.name));
        [...departing].filter((name) => !names.has(name)).forEach((name) => departing.delete(name));
        [...loads.keys()].filter((name) => !names.has(name)).forEach((name) => loads.delete(name));
        listeners.forEach((listener) => listener());
    };
    void refresh();
    lifecycle.every(context.scope, context.settings.platform.hostListPeriod, () => void refresh());
    const describe = (entry: platform.ListedUpstream): KnownUpstream => {
        const load = loads.get(entry.name);
        return { ...entry, load: load?.report, loadReadAt: load?.at };
    };
    const isDeparting = (entry: platform.ListedUpstream) =>
        entry.state === platform.ListedUpstreamState.Departing
        || departing.has(entry.name)
        || loads.get(entry.name)?.report.departing === true;
    const all = (pool: string) => listed.filter((entry) => entry.pool === pool);
    return {
        isDeparting,
        isUsable: (name) => {
            const entry = listed.find((candidate) => candidate.name === name);
            return entry !== undefined && !isDeparting(entry) && !excludedNames().has(name);
        },
        usable: (pool) => {
            const excluded = excludedNames();
            return all(pool).filter((entry) => !isDeparting(entry) && !excluded.has(entry.name)).map(describe);
        },
        all: (pool) => all(pool).map(describe),
        find: (name) => listed.filter((entry) => entry.name === name).map(describe)[0],
        markDeparting: (name) => departing.add(name),
        recordLoad: (name, report) => {
            const previous = loads.get(name)?.report;
            if (previous && previous.incarnation !== report.incarnation && !report.departing) {
                // A new incarnation that is not departing has replaced the one that was.
                departing.delete(name);
            }
            if (previous?.incarnation !== report.incarnation || previous.sequence < report.sequence) {
                loads.set(name, { report, at: context.clock() });
            }
        },
        setExclusionSource: (names) => {
            excludedNames = names;
        },
        onChange: (listener) => listeners.push(listener),
    };
}
