// Runs all checks of the repository and its tests. Exits with 1 if a check fails, or a test that KNOWN-RED.txt does not list.
// The last line is "N passed, N failed"; failures that KNOWN-RED.txt lists are printed but not counted.
import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const KNOWN_RED_PREFIX = "test: ";

/** Reads the full titles of the tests that are known to fail: one per line that starts with "test: ". */
function readKnownRed() {
    return fs.readFileSync(KNOWN_RED_FILE, "utf8")
        .split("\n")
        .filter((line) => line.startsWith(KNOWN_RED_PREFIX))
        .map((line) => line.slice(KNOWN_RED_PREFIX.length).trim());
}

/** Runs a command and shows its output. Returns whether it exited with 0. */
function runCheck(title, command, parameters) {
    console.log(`== ${title}`);
    const result = spawnSync(command, parameters, { stdio: "inherit" });
    if (result.status !== 0) {
        console.log(`check failed: ${title} (exit ${result.status})`);
    }
    return result.status === 0;
}

/** Runs all tests with mocha. Returns the passed and failed tests, or `crashed` if mocha wrote no report. */
function runTests() {
    console.log("== tests");
    const reportFile = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "citronlead-report-")), "report.json");
    const result = spawnSync("npx", [
        "--no-install",
        "mocha",
        "--reporter",
        "json",
        "--reporter-option",
        `output=${reportFile}`,
    ], {
        stdio: ["ignore", "ignore", "inherit"],
    });
    if (!fs.existsSync(reportFile)) {
        return { crashed: true, status: result.status, passes: [], failures: [] };
    }
    const report = JSON.parse(fs.readFileSync(reportFile, "utf8"));
    return { crashed: false, status: result.status, passes: report.passes, failures: report.failures };
}

let failedChecks = 0;
for (
    const [title, command, parameters] of [
        ["format", "npm", ["run", "--silent", "check:format"]],
        ["build and types", "npm", ["run", "--silent", "build"]],
        ["lint", "npm", ["run", "--silent", "check:lint"]],
    ]
) {
    if (!runCheck(title, command, parameters)) {
        failedChecks++;
    }
}

const listed = new Set(readKnownRed());
const report = runTests();
if (report.crashed) {
    console.log(`check failed: the test runner wrote no report (exit ${report.status})`);
    failedChecks++;
}
const knownFailures = report.failures.filter((failure) => listed.has(failure.fullTitle));
const failed = report.failures.filter((failure) => !listed.has(failure.fullTitle));
for (const failure of failed) {
    console.log(`failed: ${failure.fullTitle}\n${failure.err.stack ?? failure.err.message}`);
}
for (const failure of knownFailures) {
    console.log(`known red: ${failure.fullTitle}`);
}
for (const title of listed) {
    if (report.passes.some((test) => test.fullTitle === title)) {
        console.log(`known red but passes now: ${title}`);
    }
}
if (report.passes.length === 0) {
    console.log("check failed: no test passed");
    failedChecks++;
}
console.log(`${report.passes.length} passed, ${failed.length + failedChecks} failed`);
process.exitCode = failed.length + failedChecks === 0 ? 0 : 1;
