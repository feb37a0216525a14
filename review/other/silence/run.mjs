// Not a case: a host that stops ends streams whose engine is silent for a little less than their callers would wait.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../../lib/clients.mjs";
import * as deployments from "../../lib/deployment.mjs";
import * as fleet from "../../lib/fleet.mjs";

/** Callers wait for the longest of two seconds, four times the objective of 900 ms and eight times the pause of 300 ms. */
const SILENCE_MS = 3_450;
const STREAMS = 3;
/** LOST without planned work: more than three times. */
const MAX_LOST = 3;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const { hosts: [host], decoders, runs } = await deployments.startDeployment(record, temporary);
    const clients = new Clients(record);
    const eventChunk = (requestId, number) => {
        const event = `id: ${number}\ndata: ${requestId} ${number}\n\n`;
        return `${event.length.toString(16)}\r\n${event}\r\n`;
    };
    for (const engine of decoders) {
        engine.spoil = (requestId, socket, headers) => {
            runs.set(requestId, [engine.id]);
            socket.write(`HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n${eventChunk(requestId, 1)}`);
            setTimeout(() => socket.write(`${eventChunk(requestId, 2)}0\r\n\r\n`), SILENCE_MS);
            return true;
        };
    }
    for (let count = 0; count < STREAMS; count++) {
        void clients.sendStream(host);
    }
    await fleet.pause(800);
    if (fleet.WITH_TROUBLE) {
        record.write(`SIGTERM to ${host.name}`);
        host.signal("SIGTERM");
    }
    await clients.waitForAnswers(12_000);
    const lost = [...clients.answers.values()].filter(({ status, gaveUp }) => status === 0 && !gaveUp);
    const summary = `${lost.length} of ${STREAMS} streams with a pause of ${SILENCE_MS} ms were ended by the host`;
    record.write(summary);
    console.log(summary);
    return lost.length > (fleet.WITH_TROUBLE ? 0 : MAX_LOST) ? 1 : 0;
});
