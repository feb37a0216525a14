const REPLAY_VARIABLE = "CITRONLEAD_SEED";
const COUNT_VARIABLE = "CITRONLEAD_SEEDS";

/**
 * Returns the seeds of a seeded test: the one to replay, as many as `npm run soak -- --seeds N` requests, or the fixed
 * ones that CI uses.
 */
export function seeds(fixedSeeds: readonly number[]): readonly number[] {
    const replay = process.env[REPLAY_VARIABLE];
    if (replay !== undefined) {
        return [Number(replay)];
    }
    const count = process.env[COUNT_VARIABLE];
    return count === undefined ? fixedSeeds : Array.from({ length: Number(count) }, (_, index) => index + 1);
}

/** Runs a test body for each seed. If it throws, the error names the seed. */
export function forEachSeed(fixedSeeds: readonly number[], body: (seed: number) => void): void {
    for (const seed of seeds(fixedSeeds)) {
        try {
            body(seed);
        }
        catch (error) {
            throw new Error(`seed ${seed} failed; replay: npm run soak -- --seed ${seed}`, { cause: error });
        }
    }
}
