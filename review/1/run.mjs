// Case 1: hosts are stopped and started in turn, while clients send the next request on a connection as soon as it is free.
import * as http from "node:http";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../lib/clients.mjs";
import * as deployments from "../lib/deployment.mjs";
import * as fleet from "../lib/fleet.mjs";

const LENGTH_MS = 60_000;
const FIRST_STOP_MS = 4_000;
/** Pause between the stops of two hosts (`gap_s` of `roll_term`). */
const GAP_MS = 1_300;
/** Two readiness probes, one second apart: then the balancer sends no new connections. */
const ROTATION_MS = 2_000;
/** Time for a process to have ended after SIGTERM: 1 s after `grace_s`. */
const PLANNED_MS = 9_000;
/** A request that the engine still works on in the last sixth of `grace_s`, sent up to 3 s after SIGTERM, does not count. */
const LAST_SIXTH_MS = 8_000 * 5 / 6;
const LATE_SENT_MS = 3_000;
/** Connections of the clients to a host; a request that finds none free waits for the next one. */
const CONNECTIONS = 6;
const STREAMS_PER_S = 36;
const BOOKINGS_PER_S = 60;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const { hosts, runs } = await deployments.startDeployment(record, temporary, { hostCount: 3 });
    const clients = new Clients(record);
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    const isOver = () => elapsed() > LENGTH_MS;
    const agents = new Map();
    const addConnections = (host) =>
        agents.set(host, new http.Agent({ keepAlive: true, maxSockets: CONNECTIONS, scheduling: "lifo" }));
    hosts.forEach(addConnections);
    const stops = [];
    const rollOnce = async (host) => {
        record.write(`SIGTERM to ${host.name}`);
        stops.push({ host: host.name, at: performance.now() });
        host.signal("SIGTERM");
        await fleet.pause(ROTATION_MS);
        agents.delete(host);
        while (host.exit === undefined) {
            await fleet.pause(20);
        }
        record.write(`${host.name} has ended: ${JSON.stringify(host.exit)}`);
        host.start();
        await host.waitUntilReady();
        addConnections(host);
    };
    const roll = async () => {
        await fleet.pause(FIRST_STOP_MS);
        for (let index = 0; fleet.WITH_TROUBLE && elapsed() < LENGTH_MS - PLANNED_MS; index++) {
            await rollOnce(hosts[index % hosts.length]);
            await fleet.pause(GAP_MS);
        }
    };
    let next = 0;
    const send = (sendOne) => {
        const inRotation = hosts.filter((host) => agents.has(host));
        const host = inRotation[next++ % inRotation.length];
        sendOne(host, { agent: agents.get(host) });
    };
    await Promise.all([
        roll(),
        clients.sendAtRate(STREAMS_PER_S, isOver, () => send((host, options) => clients.sendStream(host, options))),
        clients.sendAtRate(BOOKINGS_PER_S, isOver, () => send((host, options) => clients.sendBooking(host, options))),
    ]);
    await clients.waitForAnswers(15_000);
    const breaksRule = ({ requestId, host, path: target, status, gaveUp, sentAt, tookMs }) => {
        const timeoutMs = target.startsWith("/quote/") ? deployments.STREAM_TIMEOUT_MS : deployments.PLAIN_TIMEOUT_MS;
        const stop = stops.find((one) =>
            one.host === host.name && sentAt + tookMs > one.at && sentAt < one.at + PLANNED_MS
        );
        if (status !== 0 || gaveUp || !runs.has(requestId) || !stop || tookMs >= timeoutMs) {
            return false;
        }
        return sentAt - stop.at > LATE_SENT_MS || sentAt + tookMs - stop.at < LAST_SIXTH_MS;
    };
    const lost = [...clients.answers.values()].filter(breaksRule);
    for (const { requestId, path: target, host, sentAt, kept } of lost) {
        const seconds = ((sentAt - record.startedAt) / 1_000).toFixed(3);
        record.write(
            `LOST: ${requestId} ${target}, sent at ${seconds} to ${host.name} on a ${
                kept ? "kept" : "new"
            } connection, `
                + `ran at ${runs.get(requestId).join(" and ")} and was not answered`,
        );
    }
    const summary = `answers ${JSON.stringify(clients.statuses)}; ${stops.length} hosts were stopped; `
        + `${lost.length} requests that ran were not answered`;
    record.write(summary);
    console.log(summary);
    return lost.length > 0 ? 1 : 0;
});
