import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as contexts from "../context.js";
import * as exchanges from "../exchange.js";
import type * as relays from "./relay.js";
import * as versions from "./versions.js";

/** Retry-After for a stream that no host can continue. */
const UNKNOWN_VERSION_RETRY_AFTER_MS = 60_000;

/** Decides at which upstreams a stream may begin or go on. */
export class StreamContinuation {
    constructor(
        private readonly context: contexts.GatewayContext,
        private readonly noEngineRetryAfterMs: () => decision.Milliseconds,
    ) {}

    /** What the caller has of the stream. Undefined if the request was refused. */
    async startProgress(exchange: exchanges.Exchange): Promise<relays.StreamProgress | undefined> {
        const { metadata, route, service } = exchange;
        const { pool, streamVersions } = this.context;
        const sequence = new dispatch.StreamSequence(
            route.kind === routing.RouteKind.Streaming,
            route.resumable ? metadata.lastEventId : undefined,
        );
        const progress = { sequence, softwareVersion: undefined };
        if (!route.resumable) {
            return progress;
        }
        if (metadata.lastEventId === undefined) {
            await streamVersions.settle(service);
            return progress;
        }
        const [{ softwareVersion, source }, isConfirmed] = await Promise.all([
            streamVersions.findVersion(exchange),
            this.confirmUpstreams(exchange),
        ]);
        const isServed = pool.candidates(service, this.context.clock())
            .some(({ upstream }) => upstream.softwareVersion === softwareVersion);
        if (softwareVersion === undefined || !isServed || !isConfirmed) {
            const mayBeKnownElsewhere = source === versions.VersionSource.Unavailable || !isConfirmed;
            exchange.refuse({
                status: 503,
                reason: exchanges.FinalReason.NoVersion,
                retryAfterMs: mayBeKnownElsewhere ? this.noEngineRetryAfterMs() : UNKNOWN_VERSION_RETRY_AFTER_MS,
            });
            return undefined;
        }
        return exchange.isOver ? undefined : { ...progress, softwareVersion };
    }

    /**
     * Whether the listing shows which versions the upstreams have now. An upstream may have started again under its id with
     * another version since it was listed, which nothing in its answers tells.
     */
    async confirmUpstreams({ metadata, service }: exchanges.Exchange): Promise<boolean> {
        const { log, pool, clock, storeView, streamVersions } = this.context;
        if (storeView.isInStep() && !streamVersions.hasSeveral(service)) {
            return true;
        }
        const isConfirmed = await storeView.confirmUpstreams() || storeView.isInStep();
        if (!isConfirmed) {
            log.decision("versions of upstreams not confirmed", {
                requestId: metadata.requestId,
                service,
                upstreamsAgeMs: Math.round(pool.listingAgeMs(clock())),
            });
        }
        return isConfirmed;
    }

    /** Whether the next events of a stream may come from the upstream. */
    mayProduce(
        { route, service }: exchanges.Exchange,
        { softwareVersion }: relays.StreamProgress,
        upstream: routing.Upstream,
    ): boolean {
        return softwareVersion === undefined
            ? !route.resumable || this.context.streamVersions.mayBeginAt(service, upstream.softwareVersion)
            : upstream.softwareVersion === softwareVersion;
    }
}
