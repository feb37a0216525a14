import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import type * as platform from "@citronlead/platform";
import * as standins from "@citronlead/standins";
import * as chai from "chai";
import * as http from "node:http";
import type * as net from "node:net";
import * as path from "node:path";
import * as stream from "node:stream";
import * as exit from "../src/exit.js";
import * as inForce from "../src/inforce.js";
import * as program from "../src/program.js";
import * as store from "../src/store.js";

const ADDRESS = "127.0.0.33";
const EXAMPLE = path.resolve(import.meta.dirname, "../../../../examples/pedra-macia.yaml");

class RecordingTerminal {
    readonly output: string[] = [];
    readonly errors: string[] = [];
    code = exit.ExitCode.Done;
    readonly print = (line: string) => void this.output.push(line);
    readonly printError = (line: string) => void this.errors.push(line);
    readonly setExitCode = (ended: exit.ExitCode) => void (this.code = ended);
}

describe("writing the configuration", () => {
    const scope = new lifecycle.Scope("test");
    let address = "";
    let keyValue: platform.KeyValue;

    async function run(...parameters: string[]): Promise<RecordingTerminal> {
        const terminal = new RecordingTerminal();
        const made = program.makeProgram(terminal, stream.Readable.from([""]));
        await made.parseAsync(["node", "citronlead", ...parameters, "--key-value", address]);
        return terminal;
    }

    async function readSnapshot(): Promise<store.Snapshot> {
        const stored = await store.readSnapshot(new RecordingTerminal(), keyValue);
        decision.invariant(stored !== undefined, "the configuration can be read");
        return stored;
    }

    async function withKeys(stored: store.Snapshot, id: string) {
        const current = stored.configuration;
        decision.invariant(current !== undefined, "a configuration was applied");
        const record = { id, workspace: "guild", hash: "a".repeat(64) };
        return { ...current, revision: current.revision + 1, keys: [...current.keys, record] };
    }

    async function dropWriteAnswers(count: number): Promise<void> {
        const body = JSON.stringify({ dropWriteAnswers: count });
        await (await fetch(`${address}/standin/faults`, { method: "PUT", body })).text();
    }

    before(async () => {
        address = (await standins.startPlatform(scope, { address: ADDRESS, port: 0, weightRateBytesPerSecond: 1e9 }))
            .address;
        keyValue = store.connectKeyValue(address);
        chai.expect((await run("apply", EXAMPLE)).code).to.equal(exit.ExitCode.Done);
    });
    after(() => scope.close());

    it("reports both revisions to the operator whose write lost the race, and keeps the other write", async () => {
        const previous = await readSnapshot();
        const [first, second] = [new RecordingTerminal(), new RecordingTerminal()];
        const won = await store.writeConfiguration(first, keyValue, previous, await withKeys(previous, "first"));
        const lost = await store.writeConfiguration(second, keyValue, previous, await withKeys(previous, "second"));
        chai.expect([won, lost]).to.deep.equal([true, false]);
        chai.expect(second.code).to.equal(exit.ExitCode.Conflict);
        chai.expect(second.errors[0]).to.match(/based on revision 1, but revision 2 is stored/);
        chai.expect((await readSnapshot()).configuration?.keys.map((key) => key.id)).to.deep.equal(["first"]);
    });

    it("reports success when the answer to the first attempt is lost", async () => {
        const previous = (await readSnapshot()).configuration?.revision ?? 0;
        await dropWriteAnswers(1);
        const applied = await run("apply", EXAMPLE);
        chai.expect([applied.code, applied.errors]).to.deep.equal([exit.ExitCode.Done, []]);
        chai.expect((await readSnapshot()).configuration?.revision).to.equal(previous + 1);
    });

    it("reports an unknown outcome when every answer is lost", async () => {
        await dropWriteAnswers(10);
        const applied = await run("apply", EXAMPLE);
        await dropWriteAnswers(0);
        chai.expect(applied.code).to.equal(exit.ExitCode.Unknown);
    });

    it("waits for the named hosts and lists the hosts of the roster that were not named", async () => {
        const granted = await run("keys", "grant", "guild", "late", "--json");
        chai.expect(granted.code, granted.errors.join()).to.equal(exit.ExitCode.Done);
        const roster = [{ host: "braga-a-1" }, { host: "porto-b-1" }];
        const control = http.createServer((_request, response) =>
            response.end(JSON.stringify({ host: "braga-a-1", revision: 1_000, keysUsable: true, roster }))
        );
        await new Promise<void>((resolve) => control.listen(0, ADDRESS, resolve));
        const port = (control.address() as net.AddressInfo).port;
        const withdrawn = await run("keys", "withdraw", "late", "--wait", `http://${ADDRESS}:${port}`);
        control.close();
        control.closeAllConnections();
        chai.expect(withdrawn.code).to.equal(exit.ExitCode.Done);
        chai.expect(withdrawn.output).to.deep.equal(["key late was withdrawn"]);
        chai.expect(withdrawn.errors).to.deep.equal(["hosts not asked because --wait does not name them: porto-b-1"]);
    });

    it("stops waiting for an unreachable host after the timeout and reports it", async () => {
        const terminal = new RecordingTerminal();
        await inForce.waitUntilInForce(terminal, [`http://${ADDRESS}:1`], 1, 1);
        chai.expect(terminal.code).to.equal(exit.ExitCode.Failed);
        chai.expect(terminal.errors).to.deep.equal([`http://${ADDRESS}:1 gave no status: ECONNREFUSED`]);
    });
});
