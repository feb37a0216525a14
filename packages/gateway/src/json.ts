/** Parses JSON; undefined if it is invalid. */
export function parseJson(bytes: Buffer): unknown {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
