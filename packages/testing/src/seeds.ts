const REPLAY_VARIABLE = "CITRONLEAD_SEED";
const COUNT_VARIABLE = "CITRONLEAD_SEEDS";

/**
 * The seeds of a long run: the one that is to be replayed, as many as `npm run soak -- --seeds N` asks for, or the fixed
 * ones of CI.
 */
export function seeds(fixed: readonly number[]): readonly number[] {
    const replay = process.env[REPLAY_VARIABLE];
    if (replay !== undefined) {
        return [Number(replay)];
    }
    const count = process.env[COUNT_VARIABLE];
    return count === undefined ? fixed : Array.from({ length: Number(count) }, (_, index) => index + 1);
}

/** Runs a body for each seed and names the seed in the error if it fails. */
export function forEachSeed(fixed: readonly number[], body: (seed: number) => void): void {
    for (const seed of seeds(fixed)) {
        try {
            body(seed);
        }
        catch (failure) {
            throw new Error(`seed ${seed} failed; replay: npm run soak -- --seed ${seed}`, { cause: failure });
        }
    }
}
