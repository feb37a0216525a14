import * as crypto from "node:crypto";

/** Into how many slices the rate of a workspace is cut. */
export const SLICE_COUNT = 3;

/** How many partitions the workspaces fall into, for each slice, and how many the shards of pools fall into. */
export const BUCKET_COUNT = 128;

/** A number that spreads evenly and is the same on every host. */
export function hashNumber(text: string): number {
    return crypto.createHash("sha1").update(text).digest().readUInt32BE(0);
}

/** The partition that holds one slice of a workspace's rate. */
export function slicePartition(workspace: string, slice: number): string {
    return `slice-${slice}-${hashNumber(workspace) % BUCKET_COUNT}`;
}

/** The partition that holds the engines of one shard of a pool. */
export function poolPartition(pool: string, shard: number): string {
    return `pool-${hashNumber(`${pool}/${shard}`) % BUCKET_COUNT}`;
}

/** Every partition there is. */
export function allPartitions(): readonly string[] {
    const buckets = Array.from({ length: BUCKET_COUNT }, (_, bucket) => bucket);
    const slices = Array.from({ length: SLICE_COUNT }, (_, slice) => slice);
    return [
        ...slices.flatMap((slice) => buckets.map((bucket) => `slice-${slice}-${bucket}`)),
        ...buckets.map((bucket) => `pool-${bucket}`),
    ];
}
