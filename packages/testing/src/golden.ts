import * as chai from "chai";
import * as fs from "node:fs";

const UPDATE_VARIABLE = "CITRONLEAD_UPDATE_GOLDEN";

/** Compares the lines of a session with its golden file. With CITRONLEAD_UPDATE_GOLDEN=1, writes the file instead. */
export function expectGolden(file: string, lines: readonly string[]): void {
    const text = lines.join("\n") + "\n";
    if (process.env[UPDATE_VARIABLE] === "1") {
        fs.writeFileSync(file, text);
        return;
    }
    chai.expect(text.split("\n")).to.deep.equal(fs.readFileSync(file, "utf8").split("\n"));
}
