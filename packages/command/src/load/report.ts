import * as hdrHistogram from "hdr-histogram-js";
import type * as mixes from "./mix.js";
import type * as runners from "./runner.js";
import * as senders from "./send.js";

/** Percentiles of times in milliseconds. */
export interface Percentiles {
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
    readonly max: number;
}

/** How the requests of one workspace were served. */
export interface WorkspaceReport {
    readonly workspace: string;
    readonly sent: number;
    /** Requests answered completely with both latency targets met. */
    readonly good: number;
    /** `good` divided by `sent`. */
    readonly goodShare: number;
}

/** The report on a load; `--json` and `--out` write it as JSON. */
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
    /** Latencies of calls to plain services, from sending to the last byte. */
    readonly calls: Percentiles;
    /** Requests a second that were answered completely, with the first token and the mean gap between tokens on target. */
    readonly goodputPerSecond: number;
    readonly workspaces: readonly WorkspaceReport[];
    readonly worstServed: WorkspaceReport | undefined;
    /** Prefills in excess of one for each request that got a first token; undefined if the engines were not asked. */
    readonly wastedPrefills: number | undefined;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MAX_TRACKED_MICROSECONDS = 3_600_000_000;

/** Creates the report on a load. `prefills` is the number of prefills that the engines ran, if known. */
export function makeReport(
    mix: mixes.Mix,
    options: runners.LoadRunOptions,
    result: runners.LoadRunResult,
    prefills: number | undefined,
): LoadReport {
    const { requests } = result;
    const streams = requests.filter((request) => request.firstTokenMs !== undefined);
    const calls = requests.filter((request) =>
        request.outcome === senders.ANSWERED && request.firstTokenMs === undefined
    );
    const workspaces = Object.keys(mix.workspaces)
        .map((workspace) => reportWorkspace(mix, workspace, requests))
        .filter((report) => report.sent > 0);
    const good = requests.filter((request) => isGood(mix, request)).length;
    return {
        mix: mix.name,
        seed: options.seed,
        requestsPerSecond: options.requestsPerSecond,
        elapsedMs: Math.round(result.elapsedMs),
        sent: requests.length,
        notSent: result.notSent,
        latestSendMs: Math.round(result.latestSendMs),
        outcomes: countOutcomes(requests),
        firstToken: percentiles(streams.map((request) => request.firstTokenMs ?? 0)),
        betweenTokens: percentiles(streams.flatMap((request) => request.gapsMs)),
        calls: percentiles(calls.map((request) => request.durationMs)),
        goodputPerSecond: good / (result.elapsedMs / 1_000),
        workspaces,
        worstServed: [...workspaces].sort((left, right) => left.goodShare - right.goodShare)[0],
        wastedPrefills: prefills === undefined ? undefined : Math.max(0, prefills - streams.length),
    };
}

function reportWorkspace(
    mix: mixes.Mix,
    workspace: string,
    requests: readonly senders.RequestResult[],
): WorkspaceReport {
    const own = requests.filter((request) => request.workspace === workspace);
    const good = own.filter((request) => isGood(mix, request)).length;
    return { workspace, sent: own.length, good, goodShare: own.length === 0 ? 0 : good / own.length };
}

function isGood(mix: mixes.Mix, request: senders.RequestResult): boolean {
    const { firstTokenMs, gapsMs, outcome } = request;
    const meanGap = gapsMs.length === 0 ? 0 : gapsMs.reduce((sum, gap) => sum + gap, 0) / gapsMs.length;
    return outcome === senders.ANSWERED
        && (firstTokenMs ?? request.durationMs) <= mix.firstTokenTarget
        && meanGap <= mix.betweenTokensTarget;
}

function countOutcomes(requests: readonly senders.RequestResult[]): Record<string, number> {
    const counts = new Map<string, number>();
    requests.forEach(({ outcome }) => counts.set(outcome, (counts.get(outcome) ?? 0) + 1));
    return Object.fromEntries([...counts].sort(([left], [right]) => left < right ? -1 : 1));
}

function percentiles(timesMs: readonly number[]): Percentiles {
    const histogram = hdrHistogram.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_TRACKED_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
    timesMs.forEach((time) => histogram.recordValue(Math.max(1, Math.round(time * MICROSECONDS_PER_MILLISECOND))));
    const at = (percentile: number) =>
        timesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    return { count: timesMs.length, p50: at(50), p95: at(95), p99: at(99), max: at(100) };
}

/** Formats the report as lines of text. */
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
        ...(report.notSent > 0 ? [`not sent         ${report.notSent}: too many requests were open`] : []),
        `latest sending   ${report.latestSendMs} ms after its planned time`,
    ];
}
