import * as decision from "@citronlead/decision";

/** Releases something that is held. It may take time; it must not fail in the normal course. */
export type Release = () => void | Promise<void>;

/**
 * Owns things that must be released and releases them in the reverse of the order in which they were taken. A scope
 * that is closed already releases at once what is handed to it, so nothing taken during a stop is forgotten.
 */
export class Lifecycle {
    private readonly releases = new Map<symbol, Release>();
    private closing: Promise<void> | undefined;

    constructor(readonly name: string) {}

    /** Whether close has been called. */
    get closed(): boolean {
        return this.closing !== undefined;
    }

    /** Takes ownership. Returns a function that releases early; calling it again does nothing. */
    own(release: Release): () => Promise<void> {
        if (this.closing) {
            return async () => release();
        }
        const key = Symbol();
        this.releases.set(key, release);
        return async () => {
            if (this.releases.delete(key)) {
                await release();
            }
        };
    }

    /** Makes a scope inside this one; closing this one closes it. */
    child(name: string): Lifecycle {
        const scope = new Lifecycle(`${this.name}/${name}`);
        const release = this.own(() => scope.close());
        scope.own(() => void release());
        return scope;
    }

    /** Releases everything, last taken first. All releases run even if one fails; the first failure is thrown. */
    close(): Promise<void> {
        this.closing ??= this.releaseAll();
        return this.closing;
    }

    private async releaseAll(): Promise<void> {
        const failures: unknown[] = [];
        for (const [key, release] of [...this.releases].reverse()) {
            if (!this.releases.delete(key)) {
                continue;
            }
            try {
                await release();
            }
            catch (failure) {
                failures.push(failure);
            }
        }
        if (failures.length > 0) {
            throw new decision.CitronleadError(`Releasing ${this.name} failed`, { cause: failures[0] });
        }
    }
}
