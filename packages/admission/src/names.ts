import * as membership from "@citronlead/membership";

const REMEMBERED_WORKSPACES = 10_000;
const remembered = new Map<string, readonly string[]>();

/** The partition that holds one slice of a workspace. Remembers names, since hashing costs more than a decision. */
export function slicePartition(workspace: string, slice: number): string {
    const known = remembered.get(workspace)?.[slice];
    if (known !== undefined) {
        return known;
    }
    if (remembered.size >= REMEMBERED_WORKSPACES) {
        remembered.clear();
    }
    const names = Array.from(
        { length: membership.SLICE_COUNT },
        (_, index) => membership.slicePartition(workspace, index),
    );
    remembered.set(workspace, names);
    return names[slice] ?? membership.slicePartition(workspace, slice);
}
