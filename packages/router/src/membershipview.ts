import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import * as platform from "@citronlead/platform";
import type * as contexts from "./context.js";

/** What the key-value service holds about hosts and owners, kept up to date by watches. */
export interface FollowedView {
    /** Reads everything now. */
    readonly refresh: () => Promise<void>;
}

/** A watch that tells nothing for this long is taken for broken, in milliseconds. */
const SILENCE_MS = 15 * decision.SECOND_MS;
const FIRST_RETRY_MS = 250;
const LONGEST_RETRY_MS = 4 * decision.SECOND_MS;

/** The entries under one prefix, in the order of the service's revisions. */
class Mirror {
    revision = 0;
    entries = new Map<string, platform.Entry>();

    constructor(readonly prefix: string) {}

    /** Takes in a read, unless something newer is known. Returns whether it was taken. */
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

/** Follows hosts and the ownership table until the scope closes. Tells the view after each change. */
export function followView(
    context: contexts.Context,
    scope: lifecycle.Lifecycle,
    partitions: readonly string[],
    tell: (view: membership.View) => void,
): FollowedView {
    const hosts = new Mirror(membership.HOSTS_PREFIX);
    const table = new Mirror(membership.TABLE_KEY);
    const mirrors = [hosts, table];
    const toView = makeToView(hosts, table, partitions);
    let told = false;
    // Changes that arrive together are told as one.
    const changed = () => {
        if (!told && mirrors.every((mirror) => mirror.revision > 0)) {
            told = true;
            setImmediate(() => {
                told = false;
                tell(toView());
            });
        }
    };
    mirrors.forEach((mirror) => void follow(context, scope, mirror, changed));
    return {
        refresh: async () => {
            await Promise.all(mirrors.map((mirror) => readInto(context, mirror)));
            changed();
        },
    };
}

function makeToView(hosts: Mirror, table: Mirror, partitions: readonly string[]): () => membership.View {
    let read: { version: number; table: membership.Table; } = { version: 0, table: {} };
    return () => {
        const stored = table.entries.get(membership.TABLE_KEY);
        if (stored && stored.modRevision !== read.version) {
            read = { version: stored.modRevision, table: membership.readTable(partitions, stored.value) };
        }
        return {
            hostsRevision: hosts.revision,
            tableRevision: table.revision,
            hosts: membership.readHosts([...hosts.entries.values()]),
            tableVersion: stored ? read.version : 0,
            table: stored ? read.table : {},
        };
    };
}

async function readInto(context: contexts.Context, mirror: Mirror): Promise<boolean> {
    const outcome = await context.keyValue.readPrefix(mirror.prefix);
    return outcome.effect === decision.Effect.Known && mirror.replace(outcome.value);
}

/** Reads, then watches; after a break again, each time at a random moment so that the fleet does not read at once. */
async function follow(
    context: contexts.Context,
    scope: lifecycle.Lifecycle,
    mirror: Mirror,
    changed: () => void,
): Promise<void> {
    let retryMs = FIRST_RETRY_MS;
    for (let turn = 0; !scope.closed; turn++) {
        if (await readInto(context, mirror)) {
            retryMs = FIRST_RETRY_MS;
            changed();
            await watchUntilBroken(context, scope, mirror, turn, changed);
        }
        await lifecycle.pause(scope, retryMs * (0.5 + Math.random()));
        retryMs = Math.min(LONGEST_RETRY_MS, 2 * retryMs);
    }
}

function watchUntilBroken(
    context: contexts.Context,
    scope: lifecycle.Lifecycle,
    mirror: Mirror,
    turn: number,
    changed: () => void,
): Promise<void> {
    const addresses = context.settings.platform.keyValue;
    const address = addresses[turn % addresses.length] ?? "";
    const watchScope = scope.child("watch");
    return new Promise((resolve) => {
        const end = () => {
            void watchScope.close();
            resolve();
        };
        watchScope.own(resolve);
        const options = { address, prefix: mirror.prefix, fromRevision: mirror.revision + 1, silenceMs: SILENCE_MS };
        platform.watch(watchScope, options, (event) => {
            if (event.kind === platform.WatchEventKind.Put) {
                mirror.put(event.entry);
                changed();
            }
            else if (event.kind === platform.WatchEventKind.Delete) {
                mirror.delete(event.key, event.revision);
                changed();
            }
            else if (event.kind === platform.WatchEventKind.Broken) {
                end();
            }
        });
    });
}
