import * as membership from "@citronlead/membership";

const MAX_CACHED_WORKSPACES = 10_000;
const cachedNames = new Map<string, readonly string[]>();

/** The partition that holds one slice of a workspace. Caches the names, since hashing costs more than a decision. */
export function slicePartition(workspace: string, slice: number): string {
    const cached = cachedNames.get(workspace)?.[slice];
    if (cached !== undefined) {
        return cached;
    }
    if (cachedNames.size >= MAX_CACHED_WORKSPACES) {
        cachedNames.clear();
    }
    const names = Array.from(
        { length: membership.SLICE_COUNT },
        (_, index) => membership.slicePartition(workspace, index),
    );
    cachedNames.set(workspace, names);
    return names[slice] ?? membership.slicePartition(workspace, slice);
}
