import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as router from "@citronlead/router";
import * as standins from "@citronlead/standins";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as stream from "node:stream";
import * as exit from "../src/exit.js";
import * as program from "../src/program.js";

const PORT_OFFSET = 1_250;
const ADDRESS = "127.0.0.42";
const EXAMPLE = path.resolve(import.meta.dirname, "../../../../examples/pedra-macia.yaml");
const GOLDEN = path.resolve(import.meta.dirname, "../../test/golden/assembly.jsonl");

interface RunResult {
    readonly code: exit.ExitCode;
    readonly output: readonly string[];
    readonly errors: readonly string[];
}

/** Runs a command line in this process and records its output. */
async function run(parameters: readonly string[], input = ""): Promise<RunResult> {
    const output: string[] = [];
    const errors: string[] = [];
    let code = exit.ExitCode.Done;
    const terminal = {
        print: (line: string) => void output.push(line),
        printError: (line: string) => void errors.push(line),
        setExitCode: (ended: exit.ExitCode) => void (code = ended),
    };
    await program.makeProgram(terminal, stream.Readable.from([input])).parseAsync([
        "node",
        "citronlead",
        ...parameters,
    ]);
    return { code, output, errors };
}

/** Lists the golden session files of the packages, each with the name of its module. */
function findGoldenSessions(): [string, string][] {
    const packages = path.resolve(import.meta.dirname, "../../..");
    const modulesOf: Readonly<Record<string, string>> = {
        membership: "membership",
        propagation: "propagation",
        operations: "operation",
        admission: "admission",
        scheduling: "scheduling",
        orders: "orders",
        quarantine: "quarantine",
    };
    return Object.entries(modulesOf).flatMap(([name, module]): [string, string][] => {
        const directory = path.join(packages, name, "test/golden");
        const files = fs.existsSync(directory) ? fs.readdirSync(directory) : [];
        return files.map((file) => [module, path.join(directory, file)]);
    });
}

describe("the command line", () => {
    const scope = new lifecycle.Scope("test");
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "citronlead-command-"));
    const portBase = testing.testPortBase(PORT_OFFSET);
    const control = `http://${ADDRESS}:${portBase + 3}`;
    const unreachableControl = `http://${ADDRESS}:${portBase + 9}`;
    let keyValue: string[];
    before(async () => {
        const platformOptions = { address: ADDRESS, port: portBase, weightRateBytesPerSecond: 1e9 };
        const { address } = await standins.startPlatform(scope, platformOptions);
        keyValue = ["--key-value", address];
        const settings = configuration.parseRouterSettings(
            "settings",
            `
host: zone-a-1
availabilityZone: zone-a
callers: { address: ${ADDRESS}, port: ${portBase + 1} }
peers: { address: ${ADDRESS}, port: ${portBase + 2} }
control: { address: ${ADDRESS}, port: ${portBase + 3} }
platform: { keyValue: ["${address}"], hostList: "${address}" }
stop: { noticePeriod: 10ms }
log: { level: silent }
`,
        );
        decision.invariant(settings.valid, () => JSON.stringify(settings));
        const running = await router.startRouter(settings.value);
        scope.defer(() => running.stop());
    });
    after(async () => {
        await scope.close();
        fs.rmSync(directory, { recursive: true });
    });

    const write = (name: string, text: string) => {
        const file = path.join(directory, name);
        fs.writeFileSync(file, text);
        return file;
    };

    it("compares a file with the stored configuration by key", async () => {
        const text = fs.readFileSync(EXAMPLE, "utf8");
        const first = await run(["diff", EXAMPLE, ...keyValue]);
        chai.expect(first.code).to.equal(exit.ExitCode.Different);
        chai.expect((await run(["apply", EXAMPLE, ...keyValue])).code).to.equal(exit.ExitCode.Done);
        const same = await run([
            "diff",
            write("same.yaml", text.replace("deadline: 10s", "deadline: 10000ms")),
            ...keyValue,
        ]);
        chai.expect(same).to.deep.equal({ code: exit.ExitCode.Done, output: [], errors: [] });
        const changed = text.replace("deadline: 10s", "deadline: 12s").replace("chargeTokens: 20", "open: false")
            .replace("  counter:\n    priority: 0", "  counter:\n    priority: 1");
        const differs = await run(["diff", write("changed.yaml", changed), ...keyValue]);
        chai.expect(differs.code).to.equal(exit.ExitCode.Different);
        chai.expect(differs.output).to.deep.equal([
            "~ profiles.counter.deadline: 10s -> 12s",
            "~ profiles.counter.priority: 0 -> 1",
            "~ services.stock.chargeTokens: 20 -> 1",
        ]);
    });

    it("reports file, line, column and key of an invalid value", async () => {
        const text = fs.readFileSync(EXAMPLE, "utf8").replace("deadline: 10s", "deadline: 10");
        const file = write("wrong.yaml", text);
        const line = text.split("\n").indexOf("    deadline: 10") + 1;
        const refused = await run(["diff", file, ...keyValue]);
        chai.expect(refused.code).to.equal(exit.ExitCode.Invalid);
        chai.expect(line).to.be.greaterThan(0);
        chai.expect(refused.errors).to.deep.equal([
            `${file}:${line}:5: profiles.counter.deadline: expected a number with a unit, such as 530ms or 7s`,
        ]);
    });

    it("lists and shows profiles", async () => {
        const listed = await run(["profiles", "list", "--json", ...keyValue]);
        const { profiles } = JSON.parse(listed.output[0] ?? "") as {
            profiles: { name: string; services: string[]; }[];
        };
        chai.expect(profiles.map((profile) => profile.name)).to.deep.equal(["assessments", "counter"]);
        chai.expect(profiles[1]?.services).to.deep.equal(["stock", "orders", "catalogue"]);
        chai.expect((await run(["profiles", "show", "counter", ...keyValue])).output.join()).to.contain("priority");
        const missing = await run(["profiles", "show", "nobody", ...keyValue]);
        chai.expect(missing.code).to.equal(exit.ExitCode.NotFound);
    });

    it("shows the status of every named router and lists those that cannot be reached", async () => {
        const shown = await run(["status", "--control", control, "--control", unreachableControl, "--json"]);
        const status = JSON.parse(shown.output[0] ?? "") as { hosts: { host: string; }[]; unreachable: object[]; };
        chai.expect(status.hosts.map((router) => router.host)).to.deep.equal(["zone-a-1"]);
        chai.expect(status.unreachable).to.have.length(1);
        chai.expect(shown.code).to.equal(exit.ExitCode.Unreachable);
        const described = await run(["status", "--control", control]);
        chai.expect(described.code).to.equal(exit.ExitCode.Done);
        chai.expect(described.output[0]).to.contain("zone-a-1\tzone-a\trevision");
    });

    it("explains a request by its id", async () => {
        const response = await fetch(`http://${ADDRESS}:${portBase + 1}/nowhere`);
        const requestId = response.headers.get("x-request-id") ?? "";
        const explained = await run(["explain", "--control", control, requestId]);
        chai.expect(explained.output.join("\n")).to.contain("router: final answer outcome=");
        const unknown = await run(["explain", "nobody", "--control", control]);
        chai.expect(unknown.code).to.equal(exit.ExitCode.NotFound);
        const unreachable = await run(["explain", "nobody", "--control", unreachableControl]);
        chai.expect(unreachable.code).to.equal(exit.ExitCode.Unreachable);
    });

    it("runs a decision module through a session", async () => {
        const token = (index: number) => ({ kind: "token", index, text: `t${index}` });
        const events = [token(0), token(0), token(2), token(1), { kind: "end", outputTokens: 3, reason: "length" }];
        const more = [token(2), { kind: "end", outputTokens: 3, reason: "length" }, token(3)];
        const lines = [{ now: 0, settings: {} }, ...[...events, ...more].map((event, now) => ({ now, event }))];
        const decided = await run(["decide", "assembly"], lines.map((line) => JSON.stringify(line)).join("\n"));
        chai.expect(decided.code).to.equal(exit.ExitCode.Done);
        testing.expectGolden(GOLDEN, decided.output);
    });

    for (const [module, file] of findGoldenSessions()) {
        it(`runs ${module} through its golden session ${path.basename(file)}`, async () => {
            const lines = fs.readFileSync(file, "utf8").trimEnd().split("\n");
            const inputs = lines.map((line) => ({ ...JSON.parse(line) as object, actions: undefined }));
            const decided = await run(["decide", module], inputs.map((input) => JSON.stringify(input)).join("\n"));
            chai.expect(decided.errors).to.deep.equal([]);
            chai.expect(decided.output).to.deep.equal(lines);
        });
    }

    it("refuses invalid input lines and unknown modules", async () => {
        const refused = await run(["decide", "assembly"], '{"now":0,"settings":{}}\n{"now":\n');
        chai.expect(refused.code).to.equal(exit.ExitCode.Invalid);
        chai.expect(refused.errors).to.deep.equal(["line 2: invalid JSON"]);
        chai.expect((await run(["decide", "nobody"])).code).to.equal(exit.ExitCode.NotFound);
    });
});
