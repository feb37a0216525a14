import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as http from "node:http";
import * as net from "node:net";
import * as platform from "../src/index.js";

/** A service that answers every call with the configured status and text. */
class MalformedService {
    text = "";
    status = 200;
    private readonly server = http.createServer((_request, response) => {
        response.writeHead(this.status, { "content-type": "application/json" });
        response.end(this.text);
    });

    async open(): Promise<string> {
        await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
    }

    close(): void {
        this.server.closeAllConnections();
        this.server.close();
    }
}

const bytesField = fastCheck.oneof(fastCheck.base64String(), fastCheck.string(), fastCheck.integer());
const entry = fastCheck.record({
    key: bytesField,
    value: bytesField,
    mod_revision: fastCheck.oneof(fastCheck.string(), fastCheck.integer(), fastCheck.constant(undefined)),
    lease: fastCheck.oneof(fastCheck.string(), fastCheck.integer()),
}, { requiredKeys: [] });
const header = fastCheck.record({ revision: fastCheck.oneof(fastCheck.string(), fastCheck.nat()) }, {
    requiredKeys: [],
});
const responseBody = fastCheck.oneof(
    fastCheck.string(),
    fastCheck.json(),
    fastCheck.record({
        header,
        kvs: fastCheck.array(entry, { maxLength: 3 }),
        succeeded: fastCheck.oneof(fastCheck.boolean(), fastCheck.string()),
        responses: fastCheck.array(
            fastCheck.record({ response_range: fastCheck.record({ kvs: fastCheck.array(entry) }) }),
        ),
        ID: fastCheck.oneof(fastCheck.string(), fastCheck.integer()),
        TTL: bytesField,
    }, { requiredKeys: [] }).map((value) => JSON.stringify(value)),
);
const frame = fastCheck.oneof(
    fastCheck.string(),
    fastCheck.record({
        result: fastCheck.record({
            header,
            created: fastCheck.boolean(),
            canceled: fastCheck.boolean(),
            events: fastCheck.array(
                fastCheck.record({ type: fastCheck.constantFrom("PUT", "DELETE", "OTHER"), kv: entry }),
            ),
        }, { requiredKeys: ["header"] }),
    }).map((value) => JSON.stringify(value)),
);

describe("The platform's clients", () => {
    const scope = new lifecycle.Scope("test");
    const service = new MalformedService();
    let address: string;
    before(async () => {
        address = await service.open();
    });
    after(async () => {
        await scope.close();
        service.close();
    });

    it("yield an outcome for malformed responses of the key-value service", async () => {
        const keyValue = platform.connectKeyValue({ addresses: [address], timeoutMs: 5_000 });
        const expectOutcome = (outcome: decision.Outcome<unknown>) =>
            chai.expect(Object.values(decision.Effect)).to.include(outcome.effect);
        await fastCheck.assert(
            fastCheck.asyncProperty(responseBody, fastCheck.constantFrom(200, 400, 503), async (text, status) => {
                service.text = text;
                service.status = status;
                expectOutcome(await keyValue.read("a"));
                expectOutcome(await keyValue.swap([{ key: "a", modRevision: 0 }], []));
                expectOutcome(await keyValue.grantLease(5));
                expectOutcome(await keyValue.renewLease("1"));
            }),
            { numRuns: 60 },
        );
    });

    it("yield an outcome for malformed lists of upstreams and responses of the weight store", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(responseBody, async (text) => {
                service.text = text;
                service.status = 200;
                const hosts = await platform.readUpstreamList(address, 5_000);
                chai.expect(hosts.effect).not.to.equal(decision.Effect.Known);
                const weights = await platform.readWeightMetadata(address, "m", "v", 5_000);
                chai.expect(Object.values(decision.Effect)).to.include(weights.effect);
            }),
            { numRuns: 60 },
        );
    });

    it("report exactly one Broken event of a watch, as its last event, whatever frames arrive", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(frame, { maxLength: 4 }), async (frames) => {
                service.text = frames.map((text) => `${text}\n`).join("");
                service.status = 200;
                const events: platform.WatchEvent[] = [];
                await new Promise<void>((resolve) =>
                    platform.watch(scope, { address, prefix: "/a", fromRevision: 0, silenceMs: 5_000 }, (event) => {
                        events.push(event);
                        if (event.kind === platform.WatchEventKind.Broken) {
                            resolve();
                        }
                    })
                );
                const broken = events.filter((event) => event.kind === platform.WatchEventKind.Broken);
                chai.expect(broken).to.have.length(1);
                chai.expect(events.at(-1)).to.equal(broken[0]);
            }),
            { numRuns: 60 },
        );
    });

    it("make no call to an invalid URL", async () => {
        for (const url of ["javascript:1", "http://127.0.0.1:1/\u0000 x", "nothing"]) {
            const outcome = await platform.callJson({ url, timeoutMs: 1_000 });
            chai.expect(outcome.effect, url).to.equal(decision.Effect.None);
        }
    });
});
