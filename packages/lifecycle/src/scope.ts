import * as decision from "@citronlead/decision";

/** Releases a resource. May be asynchronous; fails only in case of an error. */
export type ReleaseCallback = () => void | Promise<void>;

/**
 * Releases the resources registered with it when it is closed, in reverse order of registration. A scope that is
 * already closed does not keep a resource: the caller has to call the returned function, or it leaks during a stop.
 */
export class Scope {
    private readonly releases = new Map<symbol, ReleaseCallback>();
    private closing: Promise<void> | undefined;

    constructor(readonly name: string) {}

    /** Whether close has been called. */
    get closed(): boolean {
        return this.closing !== undefined;
    }

    /**
     * Registers a callback that releases a resource when the scope closes. Returns a function that releases it earlier;
     * calling that again does nothing. On a closed scope, the function just runs the callback at each call.
     */
    defer(release: ReleaseCallback): () => Promise<void> {
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

    /** Creates a child scope, which closes with this one unless it is closed earlier. */
    child(name: string): Scope {
        const scope = new Scope(`${this.name}/${name}`);
        const release = this.defer(() => scope.close());
        scope.defer(() => void release());
        return scope;
    }

    /**
     * Releases everything, last registered first. All callbacks run even if some fail; then throws a CitronleadError
     * with the first failure as its cause. Further calls return the same promise.
     */
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
            throw new decision.CitronleadError(`Failed to close scope ${this.name}`, { cause: failures[0] });
        }
    }
}
