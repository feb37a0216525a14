// The store carries out a machine's first registration late and without an answer, after the machine is started again.
// Later, a tenant asks for more than its limit.
import * as cases from "../lib-3/case.mjs";
import * as quota from "../lib-3/quota.mjs";

const LATE_MS = 4_000;
const PRESS_PER_SECOND = 120;

await cases.runCase(import.meta.dirname, async (surroundings) => {
    const { note, hosts } = surroundings;
    const { store, servers, tenant } = await quota.startFleet(surroundings);
    hosts.forEach((host) => host.start());
    if (!(await Promise.all(hosts.map((host) => host.waitReady()))).every((ready) => ready)) {
        return undefined;
    }
    await cases.pause(4_000);
    const [restarted] = hosts;
    await restarted.kill("SIGTERM");
    note("stopped", { machine: restarted.name, ...restarted.exit });
    let lost = 0;
    store.onWrite = (write, machine) => {
        const isLost = cases.trouble && machine === restarted.name && lost === 0;
        lost += isLost ? 1 : 0;
        note("write", { machine, keys: (write.puts ?? []).map(({ key, lease }) => [key, lease]), isLost });
        return isLost ? { lateMs: LATE_MS } : "run";
    };
    restarted.start();
    if (!await restarted.waitReady()) {
        return undefined;
    }
    note("started again", { machine: restarted.name });
    // The store is calm again for more than ten seconds.
    await cases.pause(18_000);
    const startedAt = performance.now();
    const results = await quota.press(hosts, PRESS_PER_SECOND, 12_000);
    quota.noteSeconds(note, servers, results, startedAt);
    const most = quota.mostInWindow(servers, tenant, results);
    note("result", { tenant, lost, sent: results.length, most: most.tokens, fromSecond: (most.from - startedAt) / 1000, allowed: quota.ALLOWED });
    return most.tokens <= quota.ALLOWED;
});
