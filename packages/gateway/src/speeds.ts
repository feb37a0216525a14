import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as pools from "./upstream/pool.js";

/** Interval at which a host tells others what it has timed, if anything. */
const TELL_PERIOD_MS = 1_000;
/** Hosts that are told, drawn anew each time: what the fleet knows of an engine is several times what one host sees. */
const FAN_OUT = 6;
/** Engines in a datagram, so that it fits in an Ethernet frame. */
const MAX_ENGINES = 14;
/** Fewest events whose gaps make a sample. */
const MIN_EVENTS = 4;

export interface EngineSpeedsOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly speeds: dispatch.SharedSpeeds;
    readonly pool: pools.UpstreamPool;
    readonly self: string;
    /** Addresses of all hosts. */
    readonly hosts: () => readonly string[];
    /** Draws a number in [0, 1). */
    readonly random: () => number;
    readonly send: (samples: readonly dispatch.SpeedSamples[], hosts: readonly string[]) => void;
}

/** Times the work of engines, and shares what it has timed with other hosts. */
export class EngineSpeeds {
    constructor(private readonly options: EngineSpeedsOptions) {
        lifecycle.every(options.scope, TELL_PERIOD_MS, () => this.tell());
    }

    /** Records how long a prefill took for each token of its prompt. */
    recordPrefill(upstream: routing.Upstream, msPerToken: number): void {
        this.record(upstream, dispatch.SpeedKind.Prefill, msPerToken);
    }

    /** Records the mean time between the events of a stream. */
    recordEvents(upstream: routing.Upstream, tookMs: decision.Milliseconds, events: number): void {
        if (events >= MIN_EVENTS && tookMs > 0) {
            this.record(upstream, dispatch.SpeedKind.Step, tookMs / events);
        }
    }

    /** Handles what another host has timed. */
    receive(samples: readonly dispatch.SpeedSamples[]): void {
        const { clock, pool, speeds } = this.options;
        for (const each of samples) {
            const upstream = pool.find(each.incarnation);
            if (upstream && each.unitMs > 0 && each.count > 0) {
                speeds.recordTold(each, upstream.service, clock());
            }
        }
    }

    private record(upstream: routing.Upstream, kind: dispatch.SpeedKind, unitMs: decision.Milliseconds): void {
        const { clock, speeds } = this.options;
        speeds.recordOwn(routing.incarnationOf(upstream), upstream.service, kind, unitMs, clock());
    }

    private tell(): void {
        const { hosts, random, self, send, speeds } = this.options;
        const samples = speeds.takeOwn(MAX_ENGINES);
        if (samples.length > 0) {
            send(samples, dispatch.drawSome(hosts().filter((host) => host !== self), FAN_OUT, random));
        }
    }
}
