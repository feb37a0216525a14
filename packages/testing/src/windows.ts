/** The most of the given times that lie in any span of the given length. */
export function mostInWindow(times: readonly number[], windowLength: number): number {
    return Math.max(0, ...times.map((end) => times.filter((at) => at <= end && at > end - windowLength).length));
}
