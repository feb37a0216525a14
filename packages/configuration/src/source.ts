import * as yaml from "yaml";
import * as zod from "zod";

/** Something wrong in a file that an operator wrote. */
export interface Problem {
    readonly file: string;
    /** Counted from 1. */
    readonly line: number;
    /** Counted from 1. */
    readonly column: number;
    /** The path of the key, such as profiles.counter.deadline. */
    readonly key: string;
    readonly message: string;
}

/** A checked value, or everything that is wrong with it. */
export type Checked<Value> =
    | { readonly valid: true; readonly value: Value; }
    | { readonly valid: false; readonly problems: readonly Problem[]; };

/** Writes a problem as file:line:column, key and message. */
export function describeProblem(problem: Problem): string {
    const key = problem.key === "" ? "" : `${problem.key}: `;
    return `${problem.file}:${problem.line}:${problem.column}: ${key}${problem.message}`;
}

/** Parses YAML text and checks it against a schema. All problems are reported, each with its place. */
export function parseYaml<Shape extends zod.ZodType>(
    file: string,
    text: string,
    shape: Shape,
): Checked<zod.output<Shape>> {
    const lines = new yaml.LineCounter();
    const document = yaml.parseDocument(text, { lineCounter: lines, uniqueKeys: true, logLevel: "error" });
    if (document.errors.length > 0) {
        const problems = document.errors.map((error) => ({
            file,
            ...position(lines, error.pos[0]),
            key: "",
            message: error.message.split("\n")[0] ?? error.code,
        }));
        return { valid: false, problems };
    }
    const plain = toPlain(document);
    if (typeof plain === "string") {
        return { valid: false, problems: [{ file, line: 1, column: 1, key: "", message: plain }] };
    }
    const parsed = shape.safeParse(plain.value ?? {});
    if (parsed.success) {
        return { valid: true, value: parsed.data };
    }
    const problems = parsed.error.issues.flatMap(flattenIssue).map((issue) => ({
        file,
        ...position(lines, offsetOf(document, issue.path)),
        key: issue.path.map(String).join("."),
        message: issue.message,
    }));
    return { valid: false, problems };
}

/** Resolves the document's aliases. Returns what is wrong as text when there are too many of them. */
function toPlain(document: yaml.Document): { readonly value: unknown; } | string {
    try {
        return { value: document.toJS() };
    }
    catch (failure) {
        return failure instanceof Error ? failure.message : "the document cannot be read";
    }
}

interface PlacedIssue {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}

/** Gives each unknown key a problem of its own, at that key. */
function flattenIssue(issue: zod.core.$ZodIssue): PlacedIssue[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map((key) => ({ path: [...issue.path, key], message: "unknown key" }));
    }
    return [{ path: issue.path, message: issue.message }];
}

/** Finds where a key stands in the text; a missing key is placed at the nearest parent that is there. */
function offsetOf(document: yaml.Document, path: readonly PropertyKey[]): number {
    for (let length = path.length; length > 0; length--) {
        const parent = document.getIn(path.slice(0, length - 1), true);
        const last = path[length - 1];
        if (yaml.isMap(parent)) {
            const pair = parent.items.find((item) =>
                yaml.isScalar(item.key) && String(item.key.value) === String(last)
            );
            if (pair && yaml.isScalar(pair.key) && pair.key.range) {
                return pair.key.range[0];
            }
        }
        const node = document.getIn(path.slice(0, length), true);
        if (yaml.isNode(node) && node.range) {
            return node.range[0];
        }
    }
    return 0;
}

function position(lines: yaml.LineCounter, offset: number): { line: number; column: number; } {
    const place = lines.linePos(offset);
    return { line: Math.max(1, place.line), column: Math.max(1, place.col) };
}
