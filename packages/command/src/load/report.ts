import * as hdrHistogram from "hdr-histogram-js";
import type * as drives from "./drive.js";
import type * as mixes from "./mix.js";
import * as senders from "./send.js";

/** Percentiles of a time, in milliseconds. */
export interface Percentiles {
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** How one workspace fared. */
export interface WorkspaceReport {
    readonly workspace: string;
    readonly sent: number;
    readonly good: number;
    /** The share of its requests that were good, from 0 to 1. */
    readonly goodShare: number;
}

/** The report of a load. */
export interface LoadReport {
    readonly mix: string;
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly elapsedMs: number;
    readonly sent: number;
    readonly notSent: number;
    readonly latestSendMs: number;
    readonly outcomes: Readonly<Record<string, number>>;
    readonly firstToken: Percentiles;
    readonly betweenTokens: Percentiles;
    /** Times of calls to plain services, from sending to the last byte. */
    readonly calls: Percentiles;
    /** Answered whole, the first token and the mean time between tokens within their targets; a second. */
    readonly goodputPerSecond: number;
    readonly workspaces: readonly WorkspaceReport[];
    readonly worstServed: WorkspaceReport | undefined;
    /** Prefills beyond one for each request that had a first token; undefined if engines were not asked. */
    readonly wastedPrefills: number | undefined;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const LONGEST_MICROSECONDS = 3_600_000_000;

/** Makes the report of a load. */
export function makeReport(
    mix: mixes.Mix,
    options: drives.DriveOptions,
    result: drives.DriveResult,
    prefills: number | undefined,
): LoadReport {
    const { endings } = result;
    const streams = endings.filter((ending) => ending.firstTokenMs !== undefined);
    const calls = endings.filter((ending) => ending.outcome === senders.ANSWERED && ending.firstTokenMs === undefined);
    const workspaces = Object.keys(mix.workspaces)
        .map((workspace) => reportWorkspace(mix, workspace, endings))
        .filter((report) => report.sent > 0);
    const good = endings.filter((ending) => isGood(mix, ending)).length;
    return {
        mix: mix.name,
        seed: options.seed,
        requestsPerSecond: options.requestsPerSecond,
        elapsedMs: Math.round(result.elapsedMs),
        sent: endings.length,
        notSent: result.notSent,
        latestSendMs: Math.round(result.latestSendMs),
        outcomes: countOutcomes(endings),
        firstToken: percentiles(streams.map((ending) => ending.firstTokenMs ?? 0)),
        betweenTokens: percentiles(streams.flatMap((ending) => ending.gapsMs)),
        calls: percentiles(calls.map((ending) => ending.durationMs)),
        goodputPerSecond: good / (result.elapsedMs / 1_000),
        workspaces,
        worstServed: [...workspaces].sort((left, right) => left.goodShare - right.goodShare)[0],
        wastedPrefills: prefills === undefined ? undefined : Math.max(0, prefills - streams.length),
    };
}

function reportWorkspace(mix: mixes.Mix, workspace: string, endings: readonly senders.Ending[]): WorkspaceReport {
    const own = endings.filter((ending) => ending.workspace === workspace);
    const good = own.filter((ending) => isGood(mix, ending)).length;
    return { workspace, sent: own.length, good, goodShare: own.length === 0 ? 0 : good / own.length };
}

function isGood(mix: mixes.Mix, ending: senders.Ending): boolean {
    const { firstTokenMs, gapsMs, outcome } = ending;
    const meanGap = gapsMs.length === 0 ? 0 : gapsMs.reduce((sum, gap) => sum + gap, 0) / gapsMs.length;
    return outcome === senders.ANSWERED
        && (firstTokenMs ?? ending.durationMs) <= mix.firstTokenTarget
        && meanGap <= mix.betweenTokensTarget;
}

function countOutcomes(endings: readonly senders.Ending[]): Record<string, number> {
    const counts = new Map<string, number>();
    endings.forEach(({ outcome }) => counts.set(outcome, (counts.get(outcome) ?? 0) + 1));
    return Object.fromEntries([...counts].sort(([left], [right]) => left < right ? -1 : 1));
}

function percentiles(timesMs: readonly number[]): Percentiles {
    const histogram = hdrHistogram.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: LONGEST_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
    timesMs.forEach((time) => histogram.recordValue(Math.max(1, Math.round(time * MICROSECONDS_PER_MILLISECOND))));
    const at = (percentile: number) =>
        timesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    return { count: timesMs.length, p50: at(50), p95: at(95), p99: at(99), max: at(100) };
}

/** Writes the report for people. */
export function describeReport(report: LoadReport): string[] {
    const line = (name: string, times: Percentiles) =>
        `${name.padEnd(16)} p50 ${times.p50.toFixed(1)} ms, p95 ${times.p95.toFixed(1)} ms, `
        + `p99 ${times.p99.toFixed(1)} ms, max ${times.max.toFixed(1)} ms (${times.count})`;
    const worst = report.worstServed;
    return [
        `mix ${report.mix}, seed ${report.seed}: ${report.sent} requests in ${(report.elapsedMs / 1_000).toFixed(1)} s`,
        line("first token", report.firstToken),
        line("between tokens", report.betweenTokens),
        line("calls", report.calls),
        `goodput          ${report.goodputPerSecond.toFixed(2)} requests/s within both targets`,
        ...Object.entries(report.outcomes).map(([outcome, count]) => `outcome          ${outcome}: ${count}`),
        ...(worst ? [`worst served     ${worst.workspace}: ${worst.good} of ${worst.sent} good`] : []),
        ...(report.wastedPrefills === undefined ? [] : [`wasted prefills  ${report.wastedPrefills}`]),
        ...(report.notSent > 0 ? [`not sent         ${report.notSent}: too many were open`] : []),
        `latest sending   ${report.latestSendMs} ms after it was due`,
    ];
}
