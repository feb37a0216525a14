// Case 5: one of three decode engines answers one request with bytes that do not end, in small chunks.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import * as deployments from "../lib/deployment.mjs";
import * as fleet from "../lib/fleet.mjs";
import { writeWithoutEnd } from "../lib/plain.mjs";
import * as restarts from "../lib/restarts.mjs";

const FIRST_AT_MS = 5_000;
const PERIOD_MS = 5_000;
const LENGTH_MS = 62_000;
const STREAMS_PER_S = 30;
const BOOKINGS_PER_S = 20;
/** A chunk of one byte. */
const PIECE = "1\r\nx\r\n";
/** The links of engines carry far more. */
const BYTES_PER_S = 8_000_000;
/** LOST: more than three times. */
const MAX_LOST = 3;
/** Fault: processes of two machines end by themselves three times. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const deployment = await deployments.startDeployment(record, temporary, { hostCount: 2 });
    const { hosts, decoders, runs } = deployment;
    const clients = new Clients(record);
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    const endless = new Set();
    let nextAt = FIRST_AT_MS;
    decoders[0].spoil = (requestId, socket, headers) => {
        if (!fleet.WITH_TROUBLE || elapsed() < nextAt) {
            return false;
        }
        nextAt += PERIOD_MS;
        endless.add(requestId);
        record.write(`${decoders[0].id} answers ${requestId} with a failure whose body does not end`);
        const head = `HTTP/1.1 500 -\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`;
        writeWithoutEnd(
            socket,
            head,
            PIECE,
            BYTES_PER_S,
            (bytes) => record.write(`the connection of ${requestId} is closed after ${bytes} bytes`),
        );
        return true;
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
    const lost = restarts.findLost(clients, runs, (requestId) => !endless.has(requestId));
    lost.forEach(({ requestId, host }) =>
        record.write(`LOST: ${requestId} ran, and ${host.name} closed its connection`)
    );
    const summary = `answers ${JSON.stringify(clients.statuses)}; ${endless.size} answers without end; `
        + `${watch.ends.length} processes ended by themselves; ${lost.length} requests of sound engines lost`;
    record.write(summary);
    console.log(summary);
    const endsOf = ({ name }) => watch.ends.filter(({ host }) => host === name).length;
    const isFault = hosts.filter((host) => endsOf(host) >= FAULT_ENDS).length >= FAULT_MACHINES;
    return isFault || lost.length > MAX_LOST ? 1 : 0;
});
