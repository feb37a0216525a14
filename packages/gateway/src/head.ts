import * as bodies from "@citronlead/bodies";

/**
 * What is wrong with the headers of a request, given as Node's flat list of names and values; undefined if they can be passed
 * on. Node's parser accepts headers that its writer refuses.
 */
export function findMalformedHeader(rawHeaders: readonly string[]): string | undefined {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const problem = bodies.findFieldProblem(name, rawHeaders[index + 1] ?? "");
        if (problem !== undefined) {
            return `malformed ${problem} of header ${JSON.stringify(name)}`;
        }
    }
    return undefined;
}
