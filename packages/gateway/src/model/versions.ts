import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as background from "../background.js";
import type * as exchanges from "../exchange.js";
import type * as logs from "../log.js";
import type * as registries from "../registry.js";
import type * as pools from "../upstream/pool.js";

/** Delay after a failed write to the store. */
const RETRY_MS = 200;
/** Number of streams that are recorded in one write; the store accepts 32 entries. */
const RECORDS_PER_WRITE = 30;
/** Maximum number of records that wait to be written; beyond it the oldest are dropped, and their streams not resumed. */
const MAX_WAITING_RECORDS = 2_000;
/** Period at which versions are retired. */
const RETIREMENT_PERIOD_MS = 5_000;
/** Age of the listing of upstreams beyond which it does not show that a version has none. */
const MAX_LISTING_AGE_MS = 5_000;

/** From where the software version of a resumed stream is known. */
export enum VersionSource {
    /** This host began the stream. */
    Own = "own",
    /** Only one version can have begun it. */
    History = "history",
    Record = "record",
    /** The store has neither. */
    Unknown = "unknown",
    /** The store could not be read. */
    Unavailable = "unavailable",
}

/** The software version at which a resumed stream has to go on; undefined if it is not known. */
export interface ResumedVersion {
    readonly softwareVersion: string | undefined;
    readonly source: VersionSource;
}

export interface StreamVersionsOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly registry: registries.Registry;
    readonly pool: pools.UpstreamPool;
    /** The longest timeout of a route. */
    readonly longestTimeoutMs: () => decision.Milliseconds;
    /** Whether this host removes the versions of a service that have left. */
    readonly retires: (service: string) => boolean;
}

/** A stream that this host began. */
interface BegunStream {
    readonly service: string;
    readonly softwareVersion: string;
    readonly expiresAt: decision.Milliseconds;
    recorded: boolean;
}

/**
 * Knows at which software version each stream began, so that it goes on at no other. The versions of a service stand in the
 * store before streams begin at them; while there is more than one, the version of each stream is written there too.
 */
export class StreamVersions {
    private readonly stored = new Map<string, registries.StoredVersions>();
    private readonly publishing = new Map<string, Promise<void>>();
    private readonly retention = new Map<string, dispatch.VersionRetention>();
    private readonly begun = new Map<string, BegunStream>();
    private waitingRecords: registries.StreamRecord[] = [];
    private writing = false;

    constructor(private readonly options: StreamVersionsOptions) {
        options.pool.setUpdateListener(() => this.onListing());
        lifecycle.every(options.scope, RETIREMENT_PERIOD_MS, () => {
            this.forgetExpired();
            background.runInBackground(options.log, "retire software versions", () => this.retireVersions());
        });
    }

    /** Whether a resumable stream of the service may begin at the version. */
    mayBeginAt(service: string, softwareVersion: string): boolean {
        return dispatch.mayBeginAt(this.stored.get(service)?.history, softwareVersion, this.era);
    }

    /** Whether the service is known to have, or to have had lately, upstreams of more than one version. */
    hasSeveral(service: string): boolean {
        return dispatch.needsRecords(this.stored.get(service)?.history);
    }

    /** Resolves when versions that are about to be written have been, or a write has failed. */
    async settle(service: string): Promise<void> {
        await this.publishing.get(service);
    }

    /** Records that a stream of this host has its first event. */
    onBegun({ metadata, service, deadlineAt }: exchanges.Exchange, softwareVersion: string): void {
        const { requestId } = metadata;
        if (requestId !== undefined) {
            this.begun.set(requestId, { service, softwareVersion, expiresAt: deadlineAt, recorded: false });
            this.recordBegun(service);
        }
    }

    /** Forgets a stream that is whole. */
    onComplete({ metadata }: exchanges.Exchange): void {
        if (metadata.requestId !== undefined) {
            this.begun.delete(metadata.requestId);
        }
    }

    /** Finds the version that began the stream that a request resumes. */
    async findVersion(exchange: exchanges.Exchange): Promise<ResumedVersion> {
        const { metadata, service } = exchange;
        const startedAt = this.options.clock();
        const found = await this.lookUp(service, metadata.resumedRequestId);
        this.options.log.decision("stream resumed", {
            requestId: metadata.requestId,
            resumedRequestId: metadata.resumedRequestId,
            lastEventId: metadata.lastEventId,
            service,
            ...found,
            knownVersions: this.stored.get(service)?.history.versions,
            tookMs: Math.round(this.options.clock() - startedAt),
        });
        return found;
    }

    /** Adopts what other hosts have written. */
    adopt(versions: ReadonlyMap<string, registries.StoredVersions>): void {
        versions.forEach((stored, service) => this.adoptOne(service, stored));
    }

    private get era(): number {
        return this.options.registry.storeEra();
    }

    private async lookUp(service: string, resumedRequestId: string | undefined): Promise<ResumedVersion> {
        const own = resumedRequestId === undefined ? undefined : this.begun.get(resumedRequestId);
        if (own) {
            return { softwareVersion: own.softwareVersion, source: VersionSource.Own };
        }
        const { registry } = this.options;
        const versions = await registry.readVersions(service);
        if (versions.effect !== decision.Effect.Known) {
            return { softwareVersion: undefined, source: VersionSource.Unavailable };
        }
        this.adoptOne(service, versions.value);
        const only = dispatch.onlyVersion(versions.value?.history, this.era);
        if (only !== undefined || resumedRequestId === undefined) {
            const source = only === undefined ? VersionSource.Unknown : VersionSource.History;
            return { softwareVersion: only, source };
        }
        const record = await registry.readStreamVersion(resumedRequestId);
        if (record.effect !== decision.Effect.Known) {
            return { softwareVersion: undefined, source: VersionSource.Unavailable };
        }
        const source = record.value === undefined ? VersionSource.Unknown : VersionSource.Record;
        return { softwareVersion: record.value, source };
    }

    private adoptOne(service: string, stored: registries.StoredVersions | undefined): void {
        const known = this.stored.get(service);
        const isNewer = !known || (stored && stored.history.era > known.history.era)
            || (stored?.history.era === known.history.era && stored.revision > known.revision);
        if (stored && isNewer) {
            this.stored.set(service, stored);
            this.retentionOf(service).adopt(stored.history, this.options.clock());
            this.options.log.notice("software versions changed", {
                service,
                versions: stored.history.versions,
                formerVersions: known?.history.versions,
                revision: stored.revision,
            });
            this.recordBegun(service);
        }
    }

    private onListing(): void {
        const now = this.options.clock();
        for (const [service, listed] of this.options.pool.engineVersions()) {
            if (this.retentionOf(service).observe(listed, now)) {
                this.stored.delete(service);
            }
            this.publish(service, [...listed]);
        }
    }

    /** Writes the versions of the registered upstreams to the store, unless it has them. */
    private publish(service: string, listed: readonly string[]): void {
        const history = this.stored.get(service)?.history;
        if (this.publishing.has(service) || dispatch.addVersions(history, listed, this.era) === history) {
            return;
        }
        const published = this.publishOnce(service, listed).finally(() => this.publishing.delete(service));
        this.publishing.set(service, published);
        background.runInBackground(this.options.log, "write software versions", () => published);
    }

    private async publishOnce(service: string, listed: readonly string[]): Promise<void> {
        const { log, registry, scope } = this.options;
        // Another host may have written in between: then what it wrote is read, and completed if need be.
        for (let attempt = 0; attempt < 2; attempt++) {
            const known = this.stored.get(service);
            const next = dispatch.addVersions(known?.history, listed, this.era);
            if (next === known?.history) {
                return;
            }
            const written = await registry.replaceVersions(service, next, known?.revision ?? 0);
            if (written.effect !== decision.Effect.Known) {
                log.decision("failed to write software versions", { service, listed, reason: written.reason });
                break;
            }
            if (written.value === undefined) {
                this.stored.delete(service);
            }
            this.adoptOne(service, written.value);
        }
        lifecycle.after(scope, RETRY_MS, () => this.onListing());
    }

    private retentionOf(service: string): dispatch.VersionRetention {
        const retention = this.retention.get(service) ?? new dispatch.VersionRetention();
        this.retention.set(service, retention);
        return retention;
    }

    private async retireVersions(): Promise<void> {
        const { clock, log, longestTimeoutMs, pool, registry, retires } = this.options;
        if (pool.listingAgeMs(clock()) > MAX_LISTING_AGE_MS) {
            return;
        }
        for (const [service, { history, revision }] of this.stored) {
            const next = this.retentionOf(service).retire(history, longestTimeoutMs(), clock());
            if (next !== history && retires(service)) {
                const written = await registry.replaceVersions(service, next, revision);
                log.notice("software versions retired", {
                    service,
                    versions: next.versions,
                    formerVersions: history.versions,
                    outcome: written.effect,
                });
                this.adoptOne(service, written.effect === decision.Effect.Known ? written.value : undefined);
            }
        }
    }

    /** Writes the versions of streams under way that are not in the store, while the history alone does not tell them. */
    private recordBegun(service: string): void {
        if (!dispatch.needsRecords(this.stored.get(service)?.history)) {
            return;
        }
        for (const [requestId, stream] of this.begun) {
            if (stream.service === service && !stream.recorded) {
                stream.recorded = true;
                this.waitingRecords.push({ requestId, softwareVersion: stream.softwareVersion });
            }
        }
        if (!this.writing) {
            background.runInBackground(this.options.log, "record streams", () => this.writeRecords());
        }
    }

    private async writeRecords(): Promise<void> {
        this.writing = true;
        try {
            await this.writeWaitingRecords();
        }
        finally {
            this.writing = false;
        }
    }

    private async writeWaitingRecords(): Promise<void> {
        const { log, registry, scope } = this.options;
        while (this.waitingRecords.length > 0 && !scope.closed) {
            const records = this.waitingRecords.slice(0, RECORDS_PER_WRITE);
            const written = await registry.recordStreams(records);
            if (written.effect === decision.Effect.Known) {
                this.waitingRecords = this.waitingRecords.slice(records.length);
                continue;
            }
            log.decision("failed to record streams", {
                requestIds: records.map(({ requestId }) => requestId),
                waiting: this.waitingRecords.length,
                reason: written.reason,
            });
            this.waitingRecords = this.waitingRecords.slice(-MAX_WAITING_RECORDS);
            await lifecycle.pause(scope, RETRY_MS);
        }
    }

    private forgetExpired(): void {
        const now = this.options.clock();
        for (const [requestId, { expiresAt }] of this.begun) {
            if (now > expiresAt) {
                this.begun.delete(requestId);
            }
        }
    }
}
