/** An entry of the store. Keys and values are base64, as on the wire. */
export interface StoredEntry {
    readonly key: string;
    readonly value: string;
    readonly create_revision: string;
    readonly mod_revision: string;
    readonly version: string;
    readonly lease: string;
}

/** One change as sent on a watch. */
export interface StoreEvent {
    readonly type: "PUT" | "DELETE";
    readonly kv: StoredEntry;
    readonly revision: number;
}

/** A comparison in a transaction. Only the revision of the last change is supported. */
export interface StoreComparison {
    readonly key: string;
    readonly mod_revision: string;
}

/** One operation in a transaction; exactly one field is set. */
export interface StoreOperation {
    readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string; };
    readonly request_delete_range?: { readonly key: string; readonly range_end?: string; };
    readonly request_range?: { readonly key: string; readonly range_end?: string; };
}

interface StoreLease {
    readonly timeToLiveMs: number;
    expiresAt: number;
}

/** Events kept for watches that start at an earlier revision. */
const HISTORY_LENGTH = 10_000;

/**
 * The state of the key-value service: entries, leases and the event history for watches. Callers pass the time, in
 * milliseconds.
 */
export class KeyValueStore {
    revision = 1;
    private readonly entries = new Map<string, StoredEntry>();
    private readonly leases = new Map<string, StoreLease>();
    private readonly history: StoreEvent[] = [];
    private readonly listeners = new Set<(events: readonly StoreEvent[]) => void>();
    private leaseCount = 0;

    /** Reads one key, or all keys from `key` up to but excluding `rangeEnd`, in byte order. */
    range(key: string, rangeEnd?: string): StoredEntry[] {
        if (rangeEnd === undefined || rangeEnd === "") {
            const entry = this.entries.get(key);
            return entry ? [entry] : [];
        }
        const low = Buffer.from(key, "base64");
        const high = Buffer.from(rangeEnd, "base64");
        return [...this.entries.values()]
            .map((entry) => ({ entry, bytes: Buffer.from(entry.key, "base64") }))
            .filter(({ bytes }) => bytes.compare(low) >= 0 && bytes.compare(high) < 0)
            .sort((left, right) => left.bytes.compare(right.bytes))
            .map(({ entry }) => entry);
    }

    /** Runs a transaction: `success` if all comparisons hold, else `failure`, all at one revision. */
    transact(
        comparisons: readonly StoreComparison[],
        success: readonly StoreOperation[],
        failure: readonly StoreOperation[],
    ): { succeeded: boolean; responses: unknown[]; } {
        const succeeded = comparisons.every((comparison) =>
            (this.entries.get(comparison.key)?.mod_revision ?? "0") === String(comparison.mod_revision ?? "0")
        );
        const operations = succeeded ? success : failure;
        const events: StoreEvent[] = [];
        const revision = this.revision + 1;
        const responses = operations.map((operation) => this.applyOperation(operation, revision, events));
        this.publish(revision, events);
        return { succeeded, responses };
    }

    /** Grants a lease. Returns its id. */
    grantLease(timeToLiveMs: number, now: number): string {
        this.leaseCount++;
        const id = String(1_000_000 + this.leaseCount);
        this.leases.set(id, { timeToLiveMs, expiresAt: now + timeToLiveMs });
        return id;
    }

    /** Renews a lease. Returns its time to live in milliseconds, or 0 if it does not exist. */
    renewLease(id: string, now: number): number {
        const lease = this.leases.get(id);
        if (!lease) {
            return 0;
        }
        lease.expiresAt = now + lease.timeToLiveMs;
        return lease.timeToLiveMs;
    }

    /** Revokes a lease and deletes its keys. */
    revokeLease(id: string): void {
        this.leases.delete(id);
        const revision = this.revision + 1;
        const events: StoreEvent[] = [];
        for (const entry of [...this.entries.values()].filter((candidate) => candidate.lease === id)) {
            this.remove(entry.key, revision, events);
        }
        this.publish(revision, events);
    }

    /** Revokes expired leases. */
    expireLeases(now: number): void {
        for (const [id, lease] of [...this.leases]) {
            if (lease.expiresAt <= now) {
                this.revokeLease(id);
            }
        }
    }

    /** Whether a lease exists. */
    hasLease(id: string): boolean {
        return this.leases.has(id);
    }

    /** Returns the changes from a revision on, inclusive. */
    eventsSince(revision: number): StoreEvent[] {
        return this.history.filter((event) => event.revision >= revision);
    }

    /** Calls the listener with each batch of changes. Returns a function that unsubscribes it. */
    subscribe(listener: (events: readonly StoreEvent[]) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private applyOperation(operation: StoreOperation, revision: number, events: StoreEvent[]): unknown {
        if (operation.request_put) {
            this.put(
                operation.request_put.key,
                operation.request_put.value,
                operation.request_put.lease,
                revision,
                events,
            );
            return { response_put: {} };
        }
        if (operation.request_delete_range) {
            const { key, range_end: rangeEnd } = operation.request_delete_range;
            const deleted = this.range(key, rangeEnd);
            deleted.forEach((entry) => this.remove(entry.key, revision, events));
            return { response_delete_range: { deleted: String(deleted.length) } };
        }
        const range = operation.request_range;
        return { response_range: { kvs: range ? this.range(range.key, range.range_end) : [] } };
    }

    private put(key: string, value: string, lease: string | undefined, revision: number, events: StoreEvent[]): void {
        const previous = this.entries.get(key);
        const entry: StoredEntry = {
            key,
            value,
            create_revision: previous?.create_revision ?? String(revision),
            mod_revision: String(revision),
            version: String(Number(previous?.version ?? "0") + 1),
            lease: lease ?? "0",
        };
        this.entries.set(key, entry);
        events.push({ type: "PUT", kv: entry, revision });
    }

    private remove(key: string, revision: number, events: StoreEvent[]): void {
        if (this.entries.delete(key)) {
            const kv = {
                key,
                value: "",
                create_revision: "0",
                mod_revision: String(revision),
                version: "0",
                lease: "0",
            };
            events.push({ type: "DELETE", kv, revision });
        }
    }

    private publish(revision: number, events: readonly StoreEvent[]): void {
        if (events.length === 0) {
            return;
        }
        this.revision = revision;
        this.history.push(...events);
        this.history.splice(0, Math.max(0, this.history.length - HISTORY_LENGTH));
        this.listeners.forEach((listener) => listener(events));
    }
}
