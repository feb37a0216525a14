// LOST: a host that stops gracefully passes a request on, and closes its connection without an answer.
import * as http from "node:http";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../../lib/clients.mjs";
import * as deployments from "../../lib/deployment.mjs";
import * as fleet from "../../lib/fleet.mjs";
import { delayLink } from "../../lib/latency.mjs";

const LENGTH_S = Number(process.env.LENGTH_S ?? 60);
/** Time between a client and a host, as on the sheet. */
const CLIENT_LATENCY_MS = 1;
/** Hosts stop in turn, each when the one before is back. */
const PAUSE_MS = 1_500;
const RESTART_MS = 300;
const GRACE_MS = 8_000;
/** In the last sixth of the grace period, requests that still run may be cut. */
const CUT_FROM_MS = GRACE_MS * 5 / 6;
const CLIENTS_PER_HOST = 12;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const { hosts, runs, store } = await deployments.startDeployment(record, temporary, {
        hostCount: 2,
        decodeEngines: 4,
    });
    const startedAt = performance.now();
    const isOver = () => performance.now() - startedAt > LENGTH_S * 1_000;
    const stops = [];
    const stopInTurn = async () => {
        for (let turn = 0; fleet.WITH_TROUBLE && !isOver(); turn++) {
            await fleet.pause(PAUSE_MS);
            const host = hosts[turn % hosts.length];
            const stop = { host: host.name, from: performance.now(), to: Infinity };
            stops.push(stop);
            record.write(`SIGTERM to ${host.name}`);
            host.signal("SIGTERM");
            while (!host.exit && performance.now() - stop.from < GRACE_MS) {
                await fleet.pause(10);
            }
            stop.to = performance.now();
            record.write(
                `${host.name} ended after ${Math.round(stop.to - stop.from)} ms: ${JSON.stringify(host.exit?.code)}`,
            );
            host.signal("SIGKILL");
            await fleet.pause(RESTART_MS);
            host.start();
            await host.waitUntilReady();
        }
    };
    const clients = new Clients(record);
    /** A client with one connection, which sends its next request when it has the answer to the one before. */
    const use = async (link) => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        await fleet.pause(Math.random() * 500);
        while (!isOver()) {
            const stream = clients.sendStream(link, { agent });
            const booking = clients.sendBooking(link, { agent });
            await stream;
            const { status } = await booking;
            await fleet.pause(status === 0 ? 300 : 100 + Math.random() * 200);
        }
    };
    const links = await Promise.all(hosts.map((host) => delayLink(host, CLIENT_LATENCY_MS)));
    const users = links.flatMap((link) => Array.from({ length: CLIENTS_PER_HOST }, () => use(link)));
    await Promise.all([stopInTurn(), ...users]);
    await clients.waitForAnswers(3_000);
    const lost = [...clients.answers.values()].filter(({ requestId, host, status, gaveUp, sentAt, tookMs }) => {
        const stop = stops.find(({ host: name, from, to }) =>
            name === host.name && from <= sentAt + tookMs && sentAt <= to
        );
        const isCutLate = stop && sentAt + tookMs - stop.from > CUT_FROM_MS;
        return status === 0 && !gaveUp && runs.has(requestId) && stop && !isCutLate;
    });
    for (const { requestId, path: target, host, sentAt, tookMs } of lost) {
        const stop = stops.findLast(({ host: name, from }) => name === host.name && from <= sentAt + tookMs);
        record.write(
            `LOST: ${requestId} ${target} was sent ${Math.round(sentAt - stop.from)} ms after the SIGTERM, ran at `
                + `${runs.get(requestId).join()}, and its connection was closed without an answer ${
                    Math.round(tookMs)
                } ms later`,
        );
    }
    const summary = `${clients.count} requests, answers ${
        JSON.stringify(clients.statuses)
    }, ${stops.length} stops; LOST: ${lost.length}`;
    record.write(summary);
    console.log(summary);
    store.close();
    return lost.length > 0 ? 1 : 0;
});
