// The platform starts a process again that has ended.
const RESTART_MS = 1_000;
const CHECK_MS = 50;

/** Starts hosts again that end, until `stop` is called; `ends` says which processes ended and when. */
export function restartEndedHosts(hosts, record) {
    const ends = [];
    const timer = setInterval(() => {
        for (const host of hosts) {
            if (host.exit === undefined) {
                continue;
            }
            const { code, signal, at } = host.exit;
            host.exit = undefined;
            ends.push({ host: host.name, code, signal, at });
            record.write(`the process of ${host.name} has ended by itself: exit code ${code}, signal ${signal}`);
            setTimeout(() => {
                if (!stopped) {
                    host.start();
                    record.write(`${host.name} is started again`);
                }
            }, RESTART_MS);
        }
    }, CHECK_MS);
    let stopped = false;
    return {
        ends,
        stop: () => {
            stopped = true;
            clearInterval(timer);
        },
    };
}

/**
 * The answers that break LOST: on kept connections, of requests that a sound upstream ran, and cut off by the host. `runs`
 * says which upstreams ran a request, `isSound` whether an upstream's answer to it was sound.
 */
export function findLost(clients, runs, isSound) {
    return [...clients.answers.values()].filter(({ requestId, status, gaveUp, kept }) =>
        status === 0 && !gaveUp && kept && runs.has(requestId) && isSound(requestId)
    );
}
