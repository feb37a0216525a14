import * as membership from "../src/index.js";

interface Entry extends membership.StoredEntry {
    readonly lease?: string;
}

/** A fake key-value service with conditional writes and leases. Callers pass in the time, in milliseconds. */
export class FakeKeyValueService {
    revision = 1;
    private readonly entries = new Map<string, Entry>();
    private readonly leases = new Map<string, { endsAt: number; timeToLiveMs: number; }>();
    private leaseCount = 0;

    grantLease(timeToLiveMs: number, now: number): { id: string; timeToLiveMs: number; } {
        this.expire(now);
        const id = `lease-${++this.leaseCount}`;
        this.leases.set(id, { endsAt: now + timeToLiveMs, timeToLiveMs });
        return { id, timeToLiveMs };
    }

    renewLease(id: string, now: number): { id: string; timeToLiveMs: number; } {
        this.expire(now);
        const lease = this.leases.get(id);
        if (!lease) {
            return { id, timeToLiveMs: 0 };
        }
        lease.endsAt = now + lease.timeToLiveMs;
        return { id, timeToLiveMs: lease.timeToLiveMs };
    }

    revokeLease(id: string): void {
        this.leases.delete(id);
        const attached = [...this.entries.values()].filter((entry) => entry.lease === id);
        if (attached.length > 0) {
            this.revision++;
            attached.forEach((entry) => this.entries.delete(entry.key));
        }
    }

    /** Returns whether the write took effect, or undefined if it names an unknown lease. */
    writeIf(
        comparisons: readonly membership.Comparison[],
        writes: readonly membership.KeyWrite[],
        now: number,
    ): boolean | undefined {
        this.expire(now);
        if (writes.some((write) => write.lease !== undefined && !this.leases.has(write.lease))) {
            return undefined;
        }
        const matches = comparisons.every((comparison) =>
            (this.entries.get(comparison.key)?.modRevision ?? 0) === comparison.modRevision
        );
        if (matches) {
            this.revision++;
            writes.forEach((write) => this.write(write));
        }
        return matches;
    }

    read(partitions: readonly string[], now: number): membership.View {
        this.expire(now);
        const table = this.entries.get(membership.OWNERSHIP_TABLE_KEY);
        return {
            hostsRevision: this.revision,
            tableRevision: this.revision,
            hosts: membership.parseHosts([...this.entries.values()]),
            tableVersion: table?.modRevision ?? 0,
            table: table ? membership.parseTable(partitions, table.value) : {},
        };
    }

    private write({ key, value, lease }: membership.KeyWrite): void {
        if (value === undefined) {
            this.entries.delete(key);
            return;
        }
        this.entries.set(key, { key, value, lease, modRevision: this.revision });
    }

    private expire(now: number): void {
        [...this.leases].filter(([, lease]) => lease.endsAt <= now).forEach(([id]) => this.revokeLease(id));
    }
}
