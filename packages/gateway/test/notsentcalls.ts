import * as decision from "@citronlead/decision";
import type * as http from "node:http";
import type * as stream from "node:stream";
import * as timers from "node:timers/promises";
import * as agents from "../src/upstream/agent.js";
import * as calls from "../src/upstream/call.js";

/** Number of calls that are made, and how many at a time. */
const CALL_COUNT = 2_000;
const CONCURRENCY = 24;
const MAX_DELAY_MS = 4;
const BLOCKED_SHARE = 0.01;
const MAX_BLOCKED_MS = 50;

/** Closes some connections as soon as they are established. */
class ClosingAgent extends agents.UpstreamAgent {
    constructor(private readonly random: decision.Random) {
        super(() => undefined);
    }

    override createConnection(options: http.ClientRequestArgs): stream.Duplex {
        const socket = super.createConnection(options);
        const closeAt = this.random.fraction();
        if (closeAt < 0.1) {
            socket.once("connect", () => process.nextTick(() => socket.destroy()));
        }
        else if (closeAt < 0.2) {
            socket.once("connect", () => setImmediate(() => socket.destroy()));
        }
        return socket;
    }
}

/** Makes calls that are given up at each moment of a connection; returns the ids of those that count as not sent. */
async function makeCalls(port: number, seed: number): Promise<string[]> {
    const random = decision.seeded(seed);
    const agent = new ClosingAgent(random);
    const notSent: string[] = [];
    let count = 0;
    const makeCall = async (id: string) => {
        const aborter = new AbortController();
        const abortAt = random.fraction();
        if (abortAt < 0.1) {
            process.nextTick(() => aborter.abort());
        }
        else if (abortAt < 0.2) {
            setImmediate(() => aborter.abort());
        }
        else if (abortAt < 0.5) {
            setTimeout(() => aborter.abort(), random.fraction() * MAX_DELAY_MS);
        }
        const outcome = await calls.startCall(agent, {
            address: `127.0.0.1:${port}`,
            incarnation: "one@1",
            ownConnection: random.fraction() < 0.3,
            method: "POST",
            path: `/${id}`,
            headers: ["Host", "one"],
            body: Buffer.from("order"),
            headersTimeoutMs: random.fraction() < 0.3 ? random.fraction() * MAX_DELAY_MS : 1_000,
            run: undefined,
            signal: aborter.signal,
        });
        if (outcome.progress === calls.CallProgress.NotSent) {
            notSent.push(id);
        }
        else if (outcome.progress === calls.CallProgress.Responded) {
            await calls.readBody(outcome.answer, 1_000);
        }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
        while (count < CALL_COUNT) {
            await makeCall(`${seed}-${count++}`);
            await timers.setTimeout(random.fraction() * MAX_DELAY_MS);
            const blockedUntil = performance.now() + MAX_BLOCKED_MS * random.fraction();
            while (random.fraction() < BLOCKED_SHARE && performance.now() < blockedUntil) {
                // Holds the event loop up.
            }
        }
    }));
    agent.destroy();
    return notSent;
}

const [port, seed] = process.argv.slice(2).map(Number) as [number, number];
process.send?.(await makeCalls(port, seed), () => process.disconnect());
