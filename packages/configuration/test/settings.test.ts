import * as chai from "chai";
import * as fs from "node:fs";
import * as path from "node:path";
import * as configuration from "../src/index.js";

const EXAMPLES = path.resolve(import.meta.dirname, "../../../../examples");
const SETTINGS = fs.readFileSync(path.join(EXAMPLES, "router.yaml"), "utf8");

/** Applies a change to the text of valid settings. Returns the problems that the parser reports. */
function problems(change: (text: string) => string): string[] {
    const checked = configuration.parseRouterSettings("router.yaml", change(SETTINGS));
    return checked.valid ? [] : checked.problems.map(configuration.formatProblem);
}

describe("the example files", () => {
    for (const name of fs.readdirSync(EXAMPLES)) {
        it(`${name} is valid`, () => {
            const parse: (file: string, text: string) => configuration.ParseResult<unknown> = name.startsWith("router")
                ? configuration.parseRouterSettings
                : configuration.parseFleet;
            const checked = parse(name, fs.readFileSync(path.join(EXAMPLES, name), "utf8"));
            chai.expect(checked.valid ? [] : checked.problems).to.deep.equal([]);
        });
    }
});

describe("the settings of a router", () => {
    it("have the documented default values", () => {
        const short = SETTINGS.slice(0, SETTINGS.indexOf("# All below may be left out"));
        const [complete, defaulted] = [SETTINGS, short].map((text) =>
            configuration.parseRouterSettings("router.yaml", text)
        );
        chai.expect(defaulted).to.deep.equal(complete);
    });

    it("report the position of a key that is unknown, missing, has a wrong unit or is out of range", () => {
        const cases: [(text: string) => string, string][] = [
            [(text) => text.replace("host: braga", "hots: braga"), "router.yaml:4:1: hots: unknown key"],
            [
                (text) => text.replace("timeout: 1s", "timeout: 1"),
                "router.yaml:21:3: platform.timeout: expected a number",
            ],
            [
                (text) => text.replace("body: 1MiB", "body: 1 megabyte"),
                "router.yaml:32:3: limits.body: expected a number",
            ],
            [(text) => text.replace("port: 8080", "port: 80800"), "router.yaml:8:33: callers.port: "],
            [(text) => text.replace("address: 192.0.2.21", "address: host"), "router.yaml:8:12: callers.address: "],
            [(text) => text.replace("level: info", "level: loud"), "router.yaml:42:3: log.level: "],
            [(text) => text.replace(':2379"', '/v3"'), "router.yaml:16:14: platform.keyValue.0: expected an address"],
            [
                (text) => text.replace("timeout: 1s", "timeout: 0s"),
                "router.yaml:21:3: platform.timeout: expected a duration",
            ],
        ];
        for (const [change, expected] of cases) {
            const found = problems(change);
            chai.expect(found.some((problem) => problem.startsWith(expected)), `${expected}: ${found.join("; ")}`)
                .to.equal(true);
        }
        chai.expect(problems((text) => text.replace("availabilityZone: braga-a\n", "")).join())
            .to.contain("availabilityZone");
    });

    it("are refused when they contradict each other", () => {
        const refused = [
            problems((text) => text.replace("port: 8082", "port: 8081")),
            problems((text) => text.replace("peers: { address: 192.0.2.21", "peers: { address: 0.0.0.0")),
            problems((text) => text.replace("headerTimeout: 5s", "headerTimeout: 20s")),
            problems((text) => text.replace("headers: 16KiB", "headers: 16B")),
        ];
        chai.expect(refused).to.deep.equal([
            ["router.yaml:12:33: control.port: peers already listens on this port"],
            ["router.yaml:10:10: peers.address: other routers connect to this address: set an IP address of this host"],
            ["router.yaml:35:3: limits.headerTimeout: must not exceed limits.requestTimeout"],
            ["router.yaml:33:3: limits.headers: must be at least 1024 bytes, which typical callers need"],
        ]);
    });
});
