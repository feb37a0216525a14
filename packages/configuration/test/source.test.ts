import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as fs from "node:fs";
import * as path from "node:path";
import * as configuration from "../src/index.js";

const EXAMPLES = path.resolve(import.meta.dirname, "../../../../examples");
const FLEET = fs.readFileSync(path.join(EXAMPLES, "pedra-macia.yaml"), "utf8");

/** Checks that the text is either accepted, or refused with problems whose positions lie within it. */
function expectValidResult(text: string): void {
    const checked = configuration.parseFleet("fleet.yaml", text);
    if (checked.valid) {
        return;
    }
    const lines = text.split(/\r\n|\r|\n/).length;
    chai.expect(checked.problems.length).to.be.greaterThan(0);
    for (const problem of checked.problems) {
        chai.expect(problem.line).to.be.within(1, lines + 1);
        chai.expect(problem.column).to.be.at.least(1);
    }
}

describe("parsing YAML", () => {
    it("never throws on arbitrary text", () => {
        fastCheck.assert(fastCheck.property(fastCheck.string(), expectValidResult), { numRuns: 200 });
        const tokens = fastCheck.constantFrom(
            "a: ",
            "- ",
            "\n",
            "  ",
            "&a ",
            "*a",
            "{",
            "}",
            "[",
            "]",
            "? ",
            "!!x ",
            "|",
            "---\n",
        );
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(tokens, { maxLength: 30 }),
                (parts) => expectValidResult(parts.join("")),
            ),
            { numRuns: 500 },
        );
    });

    it("accepts or refuses every damaged file without throwing", () => {
        fastCheck.assert(
            fastCheck.property(
                fastCheck.nat(FLEET.length),
                fastCheck.nat(40),
                fastCheck.string({ maxLength: 8 }),
                (start, length, inserted) =>
                    expectValidResult(FLEET.slice(0, start) + inserted + FLEET.slice(start + length)),
            ),
            { numRuns: 200 },
        );
    });

    it("refuses aliases that expand exponentially", () => {
        const levels = Array.from(
            { length: 12 },
            (_, level) =>
                `a${level}: &a${level} [${
                    Array.from({ length: 9 }, () => level === 0 ? "x" : `*a${level - 1}`).join(",")
                }]`,
        );
        const checked = configuration.parseFleet("fleet.yaml", levels.join("\n"));
        chai.expect(checked.valid).to.equal(false);
        chai.expect(checked.valid ? [] : checked.problems[0]?.message).to.contain("alias");
    });
});
