import * as crypto from "node:crypto";
import type * as configuration from "./configuration.js";
import * as readers from "./readers.js";
import type * as upstreams from "./upstream.js";

/** What a reader tells of the change that it has read, so that the others need not read it too. */
export interface Change {
    /** What it changes: the digest of a listing of upstreams, or the digest of a configuration. */
    readonly from: string;
    /** JSON; the new content is known by its digest. */
    readonly patch: string;
}

/** Longest patch that is told: longer ones are read in the store. */
const MAX_PATCH_CHARACTERS = 6_000;

interface ListingPatch {
    readonly changed: readonly upstreams.Upstream[];
    readonly removed: readonly string[];
}

/** The change from one listing of upstreams to the next; undefined if it is too long to be told. */
export function diffListings(
    former: readonly upstreams.Upstream[],
    next: readonly upstreams.Upstream[],
): Change | undefined {
    const lines = new Map(former.map((upstream) => [upstream.id, readers.routingFieldsOf(upstream)]));
    const changed = next.filter((upstream) => lines.get(upstream.id) !== readers.routingFieldsOf(upstream));
    const kept = new Set(next.map(({ id }) => id));
    const removed = former.filter(({ id }) => !kept.has(id)).map(({ id }) => id);
    return toldChange(readers.digestUpstreams(former), { changed, removed } satisfies ListingPatch);
}

/** The listing after a change; undefined if that is not the one with the given digest. */
export function applyListingChange(
    former: readonly upstreams.Upstream[],
    { from, patch }: Change,
    digest: string,
): readonly upstreams.Upstream[] | undefined {
    if (readers.digestUpstreams(former) !== from) {
        return undefined;
    }
    return rebuilt(() => {
        const { changed, removed } = JSON.parse(patch) as ListingPatch;
        const gone = new Set([...removed, ...changed.map(({ id }) => id)]);
        const next = [...former.filter(({ id }) => !gone.has(id)), ...changed];
        return readers.digestUpstreams(next) === digest ? next : undefined;
    });
}

/** A list, as runs of entries of the former one (first, count) and new entries. */
type ListPatch = readonly (readonly [number, number] | { readonly entry: unknown; })[];

interface ConfigurationPatch {
    readonly lists: Readonly<Record<string, ListPatch>>;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Identifies the content of a configuration. */
export function digestConfiguration(source: configuration.RoutingConfiguration): string {
    return crypto.createHash("sha1").update(JSON.stringify(source)).digest("base64url").slice(0, 22);
}

/** The change from one configuration to the next; undefined if it is too long to be told. */
export function diffConfigurations(
    former: configuration.RoutingConfiguration,
    next: configuration.RoutingConfiguration,
): Change | undefined {
    const lists: Record<string, ListPatch> = {};
    const fields: Record<string, unknown> = {};
    for (const [name, value] of Object.entries(next)) {
        const before = (former as unknown as Record<string, unknown>)[name];
        if (Array.isArray(value) && Array.isArray(before)) {
            const patch = diffLists(before, value);
            if (patch) {
                lists[name] = patch;
            }
        }
        else if (JSON.stringify(value) !== JSON.stringify(before)) {
            fields[name] = value;
        }
    }
    return toldChange(digestConfiguration(former), { lists, fields } satisfies ConfigurationPatch);
}

/** The configuration after a change; undefined if that is not the one with the given digest. */
export function applyConfigurationChange(
    former: configuration.RoutingConfiguration,
    { from, patch }: Change,
    digest: string,
): configuration.RoutingConfiguration | undefined {
    if (digestConfiguration(former) !== from) {
        return undefined;
    }
    return rebuilt(() => {
        const { lists, fields } = JSON.parse(patch) as ConfigurationPatch;
        const next: Record<string, unknown> = { ...former, ...fields };
        for (const [name, list] of Object.entries(lists)) {
            next[name] = applyListPatch(next[name] as readonly unknown[], list);
        }
        const configured = next as unknown as configuration.RoutingConfiguration;
        return digestConfiguration(configured) === digest ? configured : undefined;
    });
}

function diffLists(former: readonly unknown[], next: readonly unknown[]): ListPatch | undefined {
    const indexes = new Map(former.map((entry, index) => [JSON.stringify(entry), index]));
    const patch: ([number, number] | { entry: unknown; })[] = [];
    for (const entry of next) {
        const index = indexes.get(JSON.stringify(entry));
        const run = patch.at(-1);
        if (index === undefined) {
            patch.push({ entry });
        }
        else if (Array.isArray(run) && run[0] + run[1] === index) {
            run[1]++;
        }
        else {
            patch.push([index, 1]);
        }
    }
    const [only] = patch;
    const isSame = patch.length === 1 && Array.isArray(only) && only[0] === 0 && only[1] === former.length;
    return isSame || (patch.length === 0 && former.length === 0) ? undefined : patch;
}

function applyListPatch(former: readonly unknown[], patch: ListPatch): unknown[] {
    return patch.flatMap((part) => "entry" in part ? [part.entry] : former.slice(part[0], part[0] + part[1]));
}

function toldChange(from: string, patch: unknown): Change | undefined {
    const text = JSON.stringify(patch);
    return text.length <= MAX_PATCH_CHARACTERS ? { from, patch: text } : undefined;
}

/** A patch that another build writes otherwise is no patch. */
function rebuilt<Value>(build: () => Value | undefined): Value | undefined {
    try {
        return build();
    }
    catch {
        return undefined;
    }
}
