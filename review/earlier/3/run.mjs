// REFUSED: a stream that runs is answered with 503, the answer of an engine to another call.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../../lib/clients.mjs";
import * as deployments from "../../lib/deployment.mjs";
import * as fleet from "../../lib/fleet.mjs";

/** Second copies of 3 in a hundred answers come late, for 5 s of each 6 s, as with the largest dose of `garble` `extra late`. */
const EXTRA_SHARE = 0.03;
const EXTRA_FOR_S = 5;
const PERIOD_S = 6;
const FIRST_AT_S = 3;
const LENGTH_S = Number(process.env.LENGTH_S ?? 90);
const STREAMS_PER_S = Number(process.env.RATE ?? 60);
/** These statuses promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const { decoders, hosts: [host], runs, store } = await deployments.startDeployment(record, temporary, {
        decodeEngines: Number(process.env.DECODERS ?? 2),
        controlMs: Number(process.env.CONTROL_MS ?? 4),
    });
    const clients = new Clients(record);
    const startedAt = performance.now();
    const seconds = () => (performance.now() - startedAt) / 1_000;
    await clients.sendAtRate(STREAMS_PER_S, () => seconds() > LENGTH_S, () => {
        const garbles = fleet.WITH_TROUBLE && seconds() > FIRST_AT_S
            && (seconds() - FIRST_AT_S) % PERIOD_S < EXTRA_FOR_S;
        decoders.forEach((engine) => engine.extraShare = garbles ? EXTRA_SHARE : 0);
        void clients.sendStream(host);
    });
    await clients.waitForAnswers(16_000);
    let refused = 0;
    let twice = 0;
    let foreign = 0;
    for (const { requestId, status, seal, text } of clients.answers.values()) {
        const ran = runs.get(requestId) ?? [];
        if (PROMISES.includes(status) && ran.length > 0) {
            refused++;
            record.write(`REFUSED: ${requestId} was answered ${status}, and ran at ${ran.join()}`);
        }
        if (ran.length > 1) {
            twice++;
            record.write(`TWICE: ${requestId} ran at ${ran.join()}`);
        }
        if (status === 200 && (!seal?.endsWith(`.${requestId}`) || !text.includes(requestId))) {
            foreign++;
            record.write(`MIXED: ${requestId} was answered with the seal ${seal}`);
        }
    }
    const extras = decoders.reduce((sum, engine) => sum + engine.extrasSent, 0);
    const summary = `${clients.count} requests, answers ${JSON.stringify(clients.statuses)}, ${extras} late copies; `
        + `REFUSED: ${refused} requests, TWICE: ${twice}, MIXED: ${foreign}`;
    record.write(summary);
    console.log(summary);
    store.close();
    if (fleet.WITH_TROUBLE && extras === 0) {
        return 2;
    }
    return refused + twice + foreign > 0 ? 1 : 0;
});
