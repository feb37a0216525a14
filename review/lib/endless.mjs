// Case 2: one of three decode engines answers a few requests with bytes that do not end.
import { Clients } from "./clients.mjs";
import * as deployments from "./deployment.mjs";
import * as fleet from "./fleet.mjs";
import { writeWithoutEnd } from "./plain.mjs";

/** One in 33 answers is spoiled, for 5 s of each 10 s: 0.03, as with the largest doses of `garble`. */
const ANSWERS_PER_SPOILED = 33;
const SPOILED_FOR_MS = 5_000;
const PERIOD_MS = 10_000;
const FIRST_AT_MS = 4_000;
const STREAMS_PER_S = 20;
const BOOKINGS_PER_S = 20;
/** A chunk of one byte. */
const PIECE = "1\r\nx\r\n";
/** The links of engines carry far more. */
const BYTES_PER_S = 1_500_000;
/** After this time, the platform starts a process again that has ended. */
const RESTART_MS = 1_000;

/**
 * Plays the load for `lengthMs`. The answers without end are failures and streams in turn. Processes that end by themselves
 * are started again.
 */
export async function play(record, temporary, { lengthMs }) {
    const deployment = await deployments.startDeployment(record, temporary);
    const { decoders, hosts: [host] } = deployment;
    const clients = new Clients(record);
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    let endless = 0;
    // The first answer in such a time is spoiled, and then each 33rd.
    let count = ANSWERS_PER_SPOILED - 1;
    decoders[0].spoil = (requestId, socket, headers) => {
        const inPeriod = (elapsed() - FIRST_AT_MS) % PERIOD_MS;
        const mayBeSpoiled = fleet.WITH_TROUBLE && elapsed() > FIRST_AT_MS && inPeriod < SPOILED_FOR_MS;
        const spoils = mayBeSpoiled && ++count % ANSWERS_PER_SPOILED === 0;
        if (spoils) {
            const status = endless++ % 2 === 0 ? 500 : 200;
            record.write(`${decoders[0].id} answers ${requestId} with ${status} and a body without end`);
            writeWithoutEnd(
                socket,
                `HTTP/1.1 ${status} -\r\n${headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
                PIECE,
                BYTES_PER_S,
                (bytes) => record.write(`the connection of ${requestId} was closed after ${bytes} bytes`),
            );
        }
        return spoils;
    };
    const isOver = () => elapsed() > lengthMs;
    let ownEnds = 0;
    const restartProcess = async () => {
        while (!isOver()) {
            await fleet.pause(50);
            if (host.exit) {
                ownEnds++;
                record.write(`the host's process ended by itself: ${host.exit.signal ?? host.exit.code}`);
                await fleet.pause(RESTART_MS);
                host.start();
            }
        }
    };
    await Promise.all([
        restartProcess(),
        clients.sendAtRate(STREAMS_PER_S, isOver, () => void clients.sendStream(host)),
        clients.sendAtRate(BOOKINGS_PER_S, isOver, () => void clients.sendBooking(host)),
    ]);
    await clients.waitForAnswers(5_000);
    return { ...deployment, clients, endless, ownEnds, faulty: decoders[0].id };
}
