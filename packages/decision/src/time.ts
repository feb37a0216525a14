/** A span of time or a point on a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Reads a monotonic clock, in milliseconds since an arbitrary origin. Only times of the same process compare. */
export type Clock = () => Milliseconds;

/** Longest period of a timer of Node, in milliseconds; a longer one fires at once. */
export const MAX_TIMER_MS = 2_147_483_647;

/** One second, in milliseconds. */
export const SECOND_MS = 1_000;
