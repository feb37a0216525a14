// Case 4: one of two prefill engines spoils one byte in the body of a few answers.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import * as deployments from "../lib/deployment.mjs";
import * as fleet from "../lib/fleet.mjs";
import * as restarts from "../lib/restarts.mjs";

/** `garble`: one in 50 answers (x = 0.02) of one of five engines (share = 0.35 at most), for 5 s. */
const ANSWERS_PER_SPOILED = 50;
const SPOILED_FOR_MS = 5_000;
const PERIOD_MS = 15_000;
const FIRST_AT_MS = 5_000;
const LENGTH_MS = 40_000;
const STREAMS_PER_S = 30;
const BOOKINGS_PER_S = 20;
/** LOST: more than three times. */
const MAX_LOST = 3;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const deployment = await deployments.startDeployment(record, temporary, { hostCount: 2 });
    const { hosts, engines, runs } = deployment;
    const clients = new Clients(record);
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    const spoiled = new Set();
    let count = ANSWERS_PER_SPOILED - 1;
    engines[0].spoilPrefill = (requestId, body) => {
        const isOn = elapsed() > FIRST_AT_MS && (elapsed() - FIRST_AT_MS) % PERIOD_MS < SPOILED_FOR_MS;
        if (!fleet.WITH_TROUBLE || !isOn || ++count % ANSWERS_PER_SPOILED !== 0) {
            return undefined;
        }
        spoiled.add(requestId);
        const wrong = body.replace(/("kv_handle":"......)./, "$1 ");
        record.write(`${engines[0].id} answers the prefill of ${requestId} with ${wrong} instead of ${body}`);
        return wrong;
    };
    const watch = restarts.restartEndedHosts(hosts, record);
    let next = 0;
    const anyHost = () => hosts[next++ % hosts.length];
    await Promise.all([
        clients.sendAtRate(STREAMS_PER_S, () => elapsed() > LENGTH_MS, () => clients.sendStream(anyHost())),
        clients.sendAtRate(BOOKINGS_PER_S, () => elapsed() > LENGTH_MS, () => clients.sendBooking(anyHost())),
    ]);
    await clients.waitForAnswers(15_000);
    watch.stop();
    const lost = restarts.findLost(clients, runs, (requestId) => !spoiled.has(requestId));
    lost.forEach(({ requestId, host }) =>
        record.write(`LOST: ${requestId} ran, and ${host.name} closed its connection`)
    );
    const summary = `answers ${JSON.stringify(clients.statuses)}; ${spoiled.size} spoiled answers; `
        + `${watch.ends.length} processes ended by themselves; ${lost.length} requests of sound engines lost`;
    record.write(summary);
    console.log(summary);
    return lost.length > MAX_LOST ? 1 : 0;
});
