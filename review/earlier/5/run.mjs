// QUOTA: two hosts act as the owner of a tenant's quota, because one has lost its registration and does not know.
import { createHash } from "node:crypto";
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { Clients } from "../../lib/clients.mjs";
import * as deployments from "../../lib/deployment.mjs";
import * as fleet from "../../lib/fleet.mjs";

/** The tenant's limit, as `fleetbench wire` shows one. */
const RATE_PER_S = 66_935;
const BURST = 66_935;
/** Bounds of the settings. */
const WINDOW_S = 8;
const OVERSHOOT = 0.1;
const SLACK = 190_000;
const ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK;
/** What the tenant usually sends: its limit over `quota_x` of the site file. */
const USUAL_PER_S = RATE_PER_S / 1.8;
/** `hot_tenant`: x = 7.5, for_s = 6.5. */
const HOT_FACTOR = 7.5;
const HOT_FOR_S = 6.5;
const TOKENS = 5_271;
/** `platform_lost`: writes are done and not answered, 1 to 6 s later. */
const LATE_MS = 3_000;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const deployment = await deployments.startDeployment(record, temporary, {
        hostCount: 3,
        prefillEngines: 4,
        decodeEngines: 8,
    });
    const { hosts, runs, store } = deployment;
    // One tenant in three has this host as the owner of its quota; names are as operators choose them.
    const [owner] = hosts;
    const score = (host, name) => createHash("sha1").update(`${host.ip}:${host.peers}\n${name}`).digest("hex");
    const isOwned = (name) => hosts.every((host) => host === owner || score(host, name) < score(owner, name));
    const tenant = Array.from({ length: 200 }, (_, index) => `tenant${index}`).find(isOwned);
    const { tenants } = deployments.makeConfiguration();
    store.put(
        "op/config",
        deployments.makeConfiguration(9, {
            tenants: [...tenants, {
                name: tenant,
                api_keys: ["key-of-tenant"],
                priority: 1,
                unit: "tokens",
                plain_tokens: 200,
                rate_per_s: RATE_PER_S,
                burst: BURST,
            }],
        }),
    );
    await fleet.pause(3_000);

    const clients = new Clients(record);
    const sent = new Map();
    const startedAt = performance.now();
    const seconds = () => (performance.now() - startedAt) / 1_000;
    let perSecond = USUAL_PER_S / TOKENS;
    let over = false;
    const traffic = (async () => {
        for (let turn = 0; !over; turn++) {
            const host = hosts[Math.floor(Math.random() * hosts.length)];
            if (!host.leaving) {
                const at = performance.now();
                const requestId = `${clients.prefix}-${clients.count + 1}`;
                sent.set(requestId, at);
                void clients.sendStream(host, { promptTokens: TOKENS - 71, outputTokens: 71, key: "key-of-tenant" });
            }
            await fleet.pause(-Math.log(1 - Math.random()) * 1_000 / perSecond);
        }
    })();

    // The owner is stopped and started, as in a roll. With trouble, the store answers one of its writes with nothing, and
    // does it late.
    await fleet.pause(3_000);
    if (fleet.WITH_TROUBLE) {
        let writes = 0;
        store.loseTransaction = (host, puts) => {
            const isLost = host === owner.name && puts.some(({ key }) => key.includes(owner.ip)) && ++writes === 1;
            if (isLost) {
                record.write(
                    `the store does not answer ${
                        puts.map(({ key, lease }) => `${key} with lease ${lease}`).join()
                    }, and does it ${LATE_MS} ms later`,
                );
            }
            return isLost ? LATE_MS : undefined;
        };
    }
    owner.leaving = true;
    record.write(`SIGTERM to ${owner.name}`);
    owner.signal("SIGTERM");
    while (!owner.exit) {
        await fleet.pause(50);
    }
    owner.start();
    await owner.waitUntilReady();
    owner.leaving = false;
    record.write(`${owner.name} is back`);
    const registrations = () =>
        [...store.items.values()].filter(({ key }) => key.startsWith("citronlead/hosts/")).map(({ key, lease }) =>
            `${key} with lease ${lease}`
        ).join("; ");
    for (let count = 0; count < 7; count++) {
        await fleet.pause(3_000);
        record.write(`registered hosts: ${registrations()}`);
    }
    for (let count = 0; count < 2; count++) {
        record.write("the tenant is hot");
        perSecond = USUAL_PER_S * HOT_FACTOR / TOKENS;
        await fleet.pause(HOT_FOR_S * 1_000);
        perSecond = USUAL_PER_S / TOKENS;
        record.write("the tenant is as usual");
        await fleet.pause(9_000);
    }
    record.write(`registered hosts: ${registrations()}`);
    over = true;
    await traffic;
    await clients.waitForAnswers(5_000);
    const counted = [...sent].filter(([requestId]) => runs.has(requestId)).sort(([, one], [, other]) => one - other);
    let most = 0;
    let mostAt = 0;
    for (let from = 0, to = 0, tokens = 0; from < counted.length; from++) {
        for (; to < counted.length && counted[to][1] < counted[from][1] + WINDOW_S * 1_000; to++) {
            tokens += TOKENS;
        }
        if (tokens > most) {
            most = tokens;
            mostAt = (counted[from][1] - startedAt) / 1_000;
        }
        tokens -= TOKENS;
    }
    const summary =
        `${clients.count} requests, answers ${
            JSON.stringify(clients.statuses)
        }; QUOTA: ${most} tokens were sent and run in ${WINDOW_S} s `
        + `from ${mostAt.toFixed(1)} s; allowed ${Math.round(ALLOWED)}`;
    record.write(summary);
    console.log(summary);
    store.close();
    return most > ALLOWED ? 1 : 0;
});
