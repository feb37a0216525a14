import * as crypto from "node:crypto";

/** The number of slices that the rate of a workspace is split into. */
export const SLICE_COUNT = 3;

/** The number of partitions that workspaces are hashed to, for each slice, and that shards of pools are hashed to. */
export const BUCKET_COUNT = 128;

/** An evenly distributed 32-bit hash that is the same on every host. */
export function stableHash(text: string): number {
    return crypto.createHash("sha1").update(text).digest().readUInt32BE(0);
}

/** The partition that one slice of a workspace's rate belongs to. */
export function slicePartition(workspace: string, slice: number): string {
    return `slice-${slice}-${stableHash(workspace) % BUCKET_COUNT}`;
}

/** The partition that the engines of one shard of a pool belong to. */
export function poolPartition(pool: string, shard: number): string {
    return `pool-${stableHash(`${pool}/${shard}`) % BUCKET_COUNT}`;
}

/** All partitions, in a fixed order. */
export function allPartitions(): readonly string[] {
    const buckets = Array.from({ length: BUCKET_COUNT }, (_, bucket) => bucket);
    const slices = Array.from({ length: SLICE_COUNT }, (_, slice) => slice);
    return [
        ...slices.flatMap((slice) => buckets.map((bucket) => `slice-${slice}-${bucket}`)),
        ...buckets.map((bucket) => `pool-${bucket}`),
    ];
}
