import * as pureRand from "pure-rand";

/** A seeded random number generator for models and tests. The same seed yields the same numbers on every machine. */
export interface Random {
    /** Draws a number from 0 (included) to 1 (excluded). */
    readonly fraction: () => number;
    /** Draws a whole number from low to high, both included. */
    readonly integer: (low: number, high: number) => number;
    /** Draws one element. The list must not be empty. */
    readonly pick: <Item>(items: readonly Item[]) => Item;
    /** Draws true with the given probability from 0 to 1. */
    readonly chance: (probability: number) => boolean;
    /** Draws from an exponential distribution with the given mean. */
    readonly exponential: (mean: number) => number;
}

const FRACTION_STEPS = 0x1000_0000;

/** Creates a generator from a seed (xoroshiro128+ of pure-rand). */
export function seeded(seed: number): Random {
    const generator = pureRand.xoroshiro128plus(seed);
    const integer = (low: number, high: number) => pureRand.unsafeUniformIntDistribution(low, high, generator);
    const fraction = () => integer(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
    return {
        fraction,
        integer,
        pick: <Item>(items: readonly Item[]) => items[integer(0, items.length - 1)] as Item,
        chance: (probability) => fraction() < probability,
        exponential: (mean) => -Math.log(1 - fraction()) * mean,
    };
}
