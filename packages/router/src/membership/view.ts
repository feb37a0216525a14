import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import * as platform from "@citronlead/platform";
import type * as contexts from "../context.js";

/** Follows the host records and the ownership table in the key-value service. */
export interface ViewFollower {
    /** Reads all records now instead of waiting for a watch. */
    readonly refresh: () => Promise<void>;
}

/** A watch without any event for this long counts as broken. */
const WATCH_IDLE_TIMEOUT_MS = 15 * decision.SECOND_MS;
const MIN_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 4 * decision.SECOND_MS;

/** A local copy of the entries under one prefix. Changes older than the copy's revision are ignored. */
class PrefixMirror {
    revision = 0;
    entries = new Map<string, platform.Entry>();

    constructor(readonly prefix: string) {}

    /** Replaces all entries, unless the snapshot is older than the copy. Returns whether they were replaced. */
    replace(snapshot: platform.Snapshot): boolean {
        if (snapshot.revision < this.revision) {
            return false;
        }
        this.revision = snapshot.revision;
        this.entries = new Map(snapshot.entries.map((entry) => [entry.key, entry]));
        return true;
    }

    put(entry: platform.Entry): void {
        if (entry.modRevision >= this.revision) {
            this.revision = entry.modRevision;
            this.entries.set(entry.key, entry);
        }
    }

    delete(key: string, revision: number): void {
        if (revision >= this.revision) {
            this.revision = revision;
            this.entries.delete(key);
        }
    }
}

/** Follows the host records and the ownership table until the scope closes. Calls onView after each change. */
export function followView(
    context: contexts.Context,
    scope: lifecycle.Scope,
    partitions: readonly string[],
    onView: (view: membership.View) => void,
): ViewFollower {
    const hosts = new PrefixMirror(membership.HOSTS_PREFIX);
    const table = new PrefixMirror(membership.OWNERSHIP_TABLE_KEY);
    const mirrors = [hosts, table];
    const buildView = makeViewBuilder(hosts, table, partitions);
    let scheduled = false;
    // Changes that arrive together are reported once.
    const scheduleUpdate = () => {
        if (!scheduled && mirrors.every((mirror) => mirror.revision > 0)) {
            scheduled = true;
            setImmediate(() => {
                scheduled = false;
                onView(buildView());
            });
        }
    };
    mirrors.forEach((mirror) => void follow(context, scope, mirror, scheduleUpdate));
    return {
        refresh: async () => {
            await Promise.all(mirrors.map((mirror) => refreshMirror(context, mirror)));
            scheduleUpdate();
        },
    };
}

function makeViewBuilder(
    hosts: PrefixMirror,
    table: PrefixMirror,
    partitions: readonly string[],
): () => membership.View {
    let parsed: { version: number; table: membership.OwnershipTable; } = { version: 0, table: {} };
    return () => {
        const stored = table.entries.get(membership.OWNERSHIP_TABLE_KEY);
        if (stored && stored.modRevision !== parsed.version) {
            parsed = { version: stored.modRevision, table: membership.parseTable(partitions, stored.value) };
        }
        return {
            hostsRevision: hosts.revision,
            tableRevision: table.revision,
            hosts: membership.parseHosts([...hosts.entries.values()]),
            tableVersion: stored ? parsed.version : 0,
            table: stored ? parsed.table : {},
        };
    };
}

async function refreshMirror(context: contexts.Context, mirror: PrefixMirror): Promise<boolean> {
    const outcome = await context.keyValue.readPrefix(mirror.prefix);
    return outcome.effect === decision.Effect.Known && mirror.replace(outcome.value);
}

/** Reads, then watches; starts again after a failure, with backoff and jitter so that hosts do not all read at once. */
async function follow(
    context: contexts.Context,
    scope: lifecycle.Scope,
    mirror: PrefixMirror,
    onChange: () => void,
): Promise<void> {
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    for (let attempt = 0; !scope.closed; attempt++) {
        if (await refreshMirror(context, mirror)) {
            retryDelayMs = MIN_RETRY_DELAY_MS;
            onChange();
            await watchUntilBroken(context, scope, mirror, attempt, onChange);
        }
        await lifecycle.pause(scope, retryDelayMs * (0.5 + Math.random()));
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
    }
}

function watchUntilBroken(
    context: contexts.Context,
    scope: lifecycle.Scope,
    mirror: PrefixMirror,
    attempt: number,
    onChange: () => void,
): Promise<void> {
    const addresses = context.settings.platform.keyValue;
    const address = addresses[attempt % addresses.length] ?? "";
    const watchScope = scope.child("watch");
    return new Promise((resolve) => {
        const end = () => {
            void watchScope.close();
            resolve();
        };
        watchScope.defer(resolve);
        const options = {
            address,
            prefix: mirror.prefix,
            fromRevision: mirror.revision + 1,
            silenceMs: WATCH_IDLE_TIMEOUT_MS,
        };
        platform.watch(watchScope, options, (event) => {
            if (event.kind === platform.WatchEventKind.Put) {
                mirror.put(event.entry);
                onChange();
            }
            else if (event.kind === platform.WatchEventKind.Delete) {
                mirror.delete(event.key, event.revision);
                onChange();
            }
            else if (event.kind === platform.WatchEventKind.Broken) {
                end();
            }
        });
    });
}
