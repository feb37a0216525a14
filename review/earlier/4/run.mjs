// ORDER: streams hold events of two software versions, after engines that crashed have started again with a newer one.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../../lib/clients.mjs";
import * as deployments from "../../lib/deployment.mjs";
import * as fleet from "../../lib/fleet.mjs";

/** An engine that crashes is back after this time, before its registration lapses (three heartbeats). */
const DOWN_MS = 500;
/** How long it runs until it crashes once more. */
const UP_MS = 500;
/** Time between two engines: at random, so that it has no relation to the hosts' listings. */
const MIN_PAUSE_MS = 4_500;
const MAX_PAUSE_MS = 6_000;
const STREAMS_PER_S = Number(process.env.RATE ?? 50);
const HOSTS = Number(process.env.HOSTS ?? 6);
/** Engines that do so, of eight. */
const ENGINES = 6;
/** The rule allows two such streams. */
const ALLOWED = 2;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const configuration = deployments.makeConfiguration();
    Object.assign(configuration.routes[0], { resumable: true, attempts: 2 });
    const { decoders, hosts, register, store } = await deployments.startDeployment(record, temporary, {
        hostCount: HOSTS,
        prefillEngines: 4,
        decodeEngines: 8,
        configuration,
    });
    decoders.forEach((engine) => engine.eventMs = 120);
    const clients = new Clients(record);
    let over = false;
    const load = clients.sendAtRate(
        STREAMS_PER_S,
        () => over,
        () => void clients.sendStream(hosts[Math.floor(Math.random() * hosts.length)], { outputTokens: 110 }),
    );
    await fleet.pause(5_000);
    // One engine after the other crashes, starts again with version v2, and crashes once more. Two stay at v1.
    for (const engine of decoders.slice(0, ENGINES)) {
        if (fleet.WITH_TROUBLE) {
            for (const [downMs, upMs] of [[DOWN_MS, UP_MS], [DOWN_MS, 0]]) {
                record.write(`${engine.id} crashes`);
                engine.crash();
                await fleet.pause(downMs);
                await engine.restart("v2");
                register(engine);
                record.write(`${engine.id} is back with version v2`);
                await fleet.pause(upMs);
            }
        }
        await fleet.pause(MIN_PAUSE_MS + Math.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS));
    }
    over = true;
    await load;
    await clients.waitForAnswers(5_000);
    let mixed = 0;
    for (const { requestId, status, text } of clients.answers.values()) {
        const versions = new Set([...(text ?? "").matchAll(/^data: \S+ \d+ (\S+)$/gm)].map((match) => match[1]));
        if (versions.size > 1) {
            mixed++;
            record.write(
                `ORDER: ${requestId} was answered ${status} with events of ${[...versions].join(" and ")}: ${
                    text.match(/\d+ v\d/g).join(", ")
                }`,
            );
        }
    }
    const summary = `${clients.count} requests, answers ${
        JSON.stringify(clients.statuses)
    }; ORDER: ${mixed} streams of two versions, ${ALLOWED} allowed`;
    record.write(summary);
    console.log(summary);
    store.close();
    return mixed > ALLOWED ? 1 : 0;
});
