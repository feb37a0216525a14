/** Process metrics of a router. */
export interface ProcessMetrics {
    readonly processorMs: number;
    readonly residentBytes: number;
    readonly heapBytes: number;
}

/** Processor time that a router used in a span of time. */
export interface ProcessorUsage {
    readonly processorMs: number;
    readonly elapsedMs: number;
}

const MEBIBYTE = 1024 * 1024;

/** Reads the process metrics from a router's control address. Missing metrics are NaN. */
export async function readMetrics(control: string): Promise<ProcessMetrics> {
    const text = await (await fetch(`${control}/metrics`)).text();
    const value = (name: string) => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1] ?? Number.NaN);
    return {
        processorMs: 1_000 * value("process_cpu_seconds_total"),
        residentBytes: value("process_resident_memory_bytes"),
        heapBytes: value("nodejs_heap_size_used_bytes"),
    };
}

/** Measures the router's processor time while the callback runs. */
export async function measureProcessor(control: string, run: () => Promise<unknown>): Promise<ProcessorUsage> {
    const before = await readMetrics(control);
    const startedAt = performance.now();
    await run();
    const elapsedMs = performance.now() - startedAt;
    const after = await readMetrics(control);
    return { processorMs: after.processorMs - before.processorMs, elapsedMs };
}

/** Formats the median and the 99th percentile of times without and with the router, in milliseconds. */
export function formatComparison(name: string, direct: readonly number[], routed: readonly number[]): string {
    const parts = [50, 99].map((percent) => {
        const [without, through] = [percentile(direct, percent), percentile(routed, percent)];
        return `p${percent} ${without.toFixed(2)} -> ${through.toFixed(2)} ms `
            + `(+${(through - without).toFixed(2)} ms, x${(through / without).toFixed(2)})`;
    });
    return `${name}: ${parts.join(", ")}`;
}

/** Formats a size as a whole number of mebibytes. */
export function formatMebibytes(bytes: number): string {
    return (bytes / MEBIBYTE).toFixed(0);
}

function percentile(values: readonly number[], percent: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? Number.NaN;
}
