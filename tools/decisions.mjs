// Writes docs/DECISIONS.md from the types of the decision modules that `citronlead decide` drives. Build first.
import * as fs from "node:fs";
import * as path from "node:path";
import ts from "typescript";

const ROOT = path.resolve(import.meta.dirname, "..");
const MODULES_FILE = path.join(ROOT, "packages/command/src/modules.ts");
const OUTPUT = path.join(ROOT, "docs/DECISIONS.md");

const INTRODUCTION = `# The decisions and their events

\`citronlead decide MODULE\` drives a decision without input and output. It reads JSON lines and prints each line with the
actions that it led to:

\`\`\`
{"now":0,"settings":{…}}                 starts the session; a later one starts it anew
{"now":12.5,"event":{"kind":"…",…}}     gives an event; now is in milliseconds and never falls
{"now":12.5,"event":{…},"actions":[…]}  is what is printed
\`\`\`

A line that is no such input ends the session with exit code 3, a broken invariant with exit code 1. Golden files of whole
sessions under packages/*/test/golden have the same form, so each can be fed to the command again.

This page is written by \`node tools/decisions.mjs\` from the types; a name after a colon is described under "Shapes" of the
same module. Times are in milliseconds.
`;

const { config } = ts.readConfigFile(path.join(ROOT, "tsconfig.base.json"), ts.sys.readFile);
const { options } = ts.convertCompilerOptionsFromJson(config.compilerOptions, ROOT);
const program = ts.createProgram([MODULES_FILE], { ...options, composite: false, incremental: false, noEmit: true });
const checker = program.getTypeChecker();

/** The arguments of every call of nameModule, in their order. */
function findModules() {
    const found = [];
    const visit = (node) => {
        if (ts.isCallExpression(node) && node.expression.getText() === "nameModule") {
            found.push(node.arguments[0]);
        }
        ts.forEachChild(node, visit);
    };
    visit(program.getSourceFile(MODULES_FILE));
    return found;
}

function commentOf(symbol) {
    return ts.displayPartsToString(symbol?.getDocumentationComment(checker) ?? []).replace(/\s+/g, " ").trim();
}

const PLAIN = ts.TypeFlags.StringLike | ts.TypeFlags.NumberLike | ts.TypeFlags.BooleanLike | ts.TypeFlags.Undefined
    | ts.TypeFlags.Null | ts.TypeFlags.Unknown | ts.TypeFlags.Any | ts.TypeFlags.Never;

/** Writes a type as it looks in JSON. Named shapes are collected in the map and referred to by name. */
function render(type, shapes) {
    if (type.isUnion() && !(type.flags & ts.TypeFlags.Boolean)) {
        const members = type.types.filter((member) => !(member.flags & ts.TypeFlags.Undefined));
        return mergeBooleans([...new Set(members.map((member) => render(member, shapes)))]).join(" or ");
    }
    if (type.isStringLiteral() || type.isNumberLiteral()) {
        return JSON.stringify(type.value);
    }
    if (type.flags & PLAIN) {
        return checker.typeToString(type);
    }
    if (checker.isArrayType(type)) {
        return `list of ${render(checker.getTypeArguments(type)[0], shapes)}`;
    }
    if (checker.isTupleType(type)) {
        return `[${checker.getTypeArguments(type).map((member) => render(member, shapes)).join(", ")}]`;
    }
    const name = type.symbol?.name;
    const value = type.getStringIndexType();
    if (value && type.getProperties().length === 0) {
        return `object with ${render(value, shapes)} by name`;
    }
    if (name === "Map" || name === "ReadonlyMap" || name === "Set" || name === "ReadonlySet") {
        return `${name} (no JSON)`;
    }
    if (name !== undefined && name !== "__type" && name !== "__object") {
        if (!shapes.has(name)) {
            shapes.set(name, type);
        }
        return name;
    }
    const fields = type.getProperties().map((field) => renderField(field, shapes));
    return `{ ${fields.map((field) => `${field.name}: ${field.text}`).join("; ")} }`;
}

function mergeBooleans(texts) {
    const both = texts.includes("true") && texts.includes("false");
    return both ? [...texts.filter((text) => text !== "true" && text !== "false"), "boolean"] : texts;
}

function renderField(field, shapes) {
    const type = checker.getTypeOfSymbol(field);
    const optional = (field.flags & ts.SymbolFlags.Optional) !== 0
        || (type.isUnion() && type.types.some((member) => member.flags & ts.TypeFlags.Undefined));
    return { name: `${field.name}${optional ? "?" : ""}`, text: render(type, shapes), comment: commentOf(field) };
}

function describeFields(type, shapes) {
    return type.getProperties().map((field) => renderField(field, shapes)).map(({ name, text, comment }) =>
        `- \`${name}\`: ${text}${comment === "" ? "" : `. ${comment}`}`
    );
}

/** The members of a union of events or actions, each under its kind. */
function describeUnion(type, shapes) {
    const members = type.isUnion() ? type.types : [type];
    return members.flatMap((member) => {
        const kind = member.getProperty("kind");
        const title = kind ? render(checker.getTypeOfSymbol(kind), shapes) : member.symbol?.name ?? "value";
        const comment = commentOf(member.aliasSymbol ?? member.symbol);
        return ["", `#### ${title.replaceAll('"', "`")}`, "", ...(comment === "" ? [] : [comment, ""])]
            .concat(describeFields(member, shapes).filter((line) => !line.startsWith("- `kind`")));
    });
}

function describeModule(argument, name) {
    const [settings, , event, action] = checker.getTypeArguments(checker.getTypeAtLocation(argument));
    const shapes = new Map();
    const lines = [`## ${name}`, "", "### Settings", "", ...describeFields(settings, shapes), "", "### Events"];
    lines.push(...describeUnion(event, shapes), "", "### Actions", ...describeUnion(action, shapes));
    const described = [];
    for (const [shape, type] of shapes) {
        const comment = commentOf(type.symbol);
        described.push("", `#### ${shape}`, "", ...(comment === "" ? [] : [comment, ""]));
        described.push(...describeFields(type, shapes));
    }
    return [...lines, ...(described.length > 0 ? ["", "### Shapes", ...described] : []), ""];
}

const { decisionModules } = await import(path.join(ROOT, "packages/command/dist/src/modules.js"));
const sections = findModules().flatMap((argument, index) => describeModule(argument, decisionModules[index].name));
const text = [INTRODUCTION, ...sections].join("\n").replace(/\n{3,}/g, "\n\n").trimEnd();
fs.writeFileSync(OUTPUT, `${text}\n`);
