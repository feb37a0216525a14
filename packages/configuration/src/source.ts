import * as yaml from "yaml";
import * as zod from "zod";

/** A problem in a file that an operator wrote. */
export interface Problem {
    readonly file: string;
    /** 1-based. */
    readonly line: number;
    /** 1-based. */
    readonly column: number;
    /** The dotted path of the key, such as profiles.counter.deadline; empty if the problem belongs to no key. */
    readonly key: string;
    readonly message: string;
}

/** A validated value, or all problems found. */
export type ParseResult<Value> =
    | { readonly valid: true; readonly value: Value; }
    | { readonly valid: false; readonly problems: readonly Problem[]; };

/** Formats a problem as `file:line:column: key: message`. */
export function formatProblem(problem: Problem): string {
    const key = problem.key === "" ? "" : `${problem.key}: `;
    return `${problem.file}:${problem.line}:${problem.column}: ${key}${problem.message}`;
}

/** Parses YAML text and validates it against a schema. Reports every problem with its position. */
export function parseYaml<Schema extends zod.ZodType>(
    file: string,
    text: string,
    schema: Schema,
): ParseResult<zod.output<Schema>> {
    const lines = new yaml.LineCounter();
    const document = yaml.parseDocument(text, { lineCounter: lines, uniqueKeys: true, logLevel: "error" });
    if (document.errors.length > 0) {
        const problems = document.errors.map((error) => ({
            file,
            ...positionAt(lines, error.pos[0]),
            key: "",
            message: error.message.split("\n")[0] ?? error.code,
        }));
        return { valid: false, problems };
    }
    const converted = toPlainValue(document);
    if (typeof converted === "string") {
        return { valid: false, problems: [{ file, line: 1, column: 1, key: "", message: converted }] };
    }
    const parsed = schema.safeParse(converted.value ?? {});
    if (parsed.success) {
        return { valid: true, value: parsed.data };
    }
    const problems = parsed.error.issues.flatMap(flattenIssue).map((issue) => ({
        file,
        ...positionAt(lines, findOffset(document, issue.path)),
        key: issue.path.map(String).join("."),
        message: issue.message,
    }));
    return { valid: false, problems };
}

/** Converts a document to a plain value. Returns an error message if that fails, such as when it has too many aliases. */
function toPlainValue(document: yaml.Document): { readonly value: unknown; } | string {
    try {
        return { value: document.toJS() };
    }
    catch (failure) {
        return failure instanceof Error ? failure.message : "the document cannot be read";
    }
}

interface LocatedIssue {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}

/** Turns an issue about several unknown keys into one issue for each key. */
function flattenIssue(issue: zod.core.$ZodIssue): LocatedIssue[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map((key) => ({ path: [...issue.path, key], message: "unknown key" }));
    }
    return [{ path: issue.path, message: issue.message }];
}

/** Returns the offset of a key in the text. A missing key gets the offset of its nearest existing ancestor. */
function findOffset(document: yaml.Document, path: readonly PropertyKey[]): number {
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

function positionAt(lines: yaml.LineCounter, offset: number): { line: number; column: number; } {
    const found = lines.linePos(offset);
    return { line: Math.max(1, found.line), column: Math.max(1, found.col) };
}
