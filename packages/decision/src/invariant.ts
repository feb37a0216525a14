import * as modernErrors from "modern-errors";

/** The base of every error that citronlead throws. Expected failures are outcomes and are never thrown. */
export const CitronleadError = modernErrors.default.subclass("CitronleadError");

/** Thrown when an invariant does not hold. It stops the process. */
export const BrokenInvariantError = CitronleadError.subclass("BrokenInvariantError");

/** Throws a BrokenInvariantError with the given message unless the condition holds. */
export function invariant(condition: boolean, message: string | (() => string)): asserts condition {
    if (!condition) {
        throw new BrokenInvariantError(typeof message === "string" ? message : message());
    }
}

/** Marks a branch that the types rule out. Throws a BrokenInvariantError if it is reached. */
export function unreachable(value: never): never {
    throw new BrokenInvariantError(`Unexpected value: ${JSON.stringify(value)}`);
}
