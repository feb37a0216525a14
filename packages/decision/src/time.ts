/** A span of time or a point on a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Reads a monotonic clock, in milliseconds since an origin that means nothing outside this process. */
export type Clock = () => Milliseconds;

/** One second, in milliseconds. */
export const SECOND_MS = 1_000;
