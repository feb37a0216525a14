/** What the router process says of itself. */
export interface Reading {
    readonly processorMs: number;
    readonly residentBytes: number;
    readonly heapBytes: number;
}

/** What the router process spent while something ran. */
export interface Spent {
    readonly processorMs: number;
    readonly elapsedMs: number;
}

const MEBIBYTE = 1024 * 1024;

/** Reads the router's own metrics. */
export async function read(control: string): Promise<Reading> {
    const text = await (await fetch(`${control}/metrics`)).text();
    const value = (name: string) => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1] ?? Number.NaN);
    return {
        processorMs: 1_000 * value("process_cpu_seconds_total"),
        residentBytes: value("process_resident_memory_bytes"),
        heapBytes: value("nodejs_heap_size_used_bytes"),
    };
}

/** Measures the router's processor time while something runs. */
export async function measure(control: string, run: () => Promise<unknown>): Promise<Spent> {
    const before = await read(control);
    const startedAt = performance.now();
    await run();
    const elapsedMs = performance.now() - startedAt;
    const after = await read(control);
    return { processorMs: after.processorMs - before.processorMs, elapsedMs };
}

/** Compares times on the direct path and through the router. */
export function compare(name: string, direct: readonly number[], routed: readonly number[]): string {
    const parts = [50, 99].map((percent) => {
        const [without, through] = [percentile(direct, percent), percentile(routed, percent)];
        return `p${percent} ${without.toFixed(2)} -> ${through.toFixed(2)} ms `
            + `(+${(through - without).toFixed(2)} ms, x${(through / without).toFixed(2)})`;
    });
    return `${name}: ${parts.join(", ")}`;
}

/** A size in mebibytes. */
export function mebibytes(bytes: number): string {
    return (bytes / MEBIBYTE).toFixed(0);
}

function percentile(values: readonly number[], percent: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? Number.NaN;
}
