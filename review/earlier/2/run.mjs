// LOST and CONFIG: a host ends by itself, or handles nothing for many seconds, while it reads an answer without end.
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { PLAIN_TIMEOUT_MS, STREAM_TIMEOUT_MS } from "../../lib/deployment.mjs";
import * as endless from "../../lib/endless.mjs";
import * as fleet from "../../lib/fleet.mjs";

/** The rule LOST allows three such requests. */
const ALLOWED = 3;
/** How much later than the timeout the rule CONFIG counts a request as not answered. */
const LATE_MS = 500;
/** It counts from so many late requests on, if they are over half of those that last beyond the timeout. */
const MIN_LATE = 8;

await fleet.runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, temporary) => {
    const played = await endless.play(record, temporary, { lengthMs: 80_000 });
    const { clients, runs, faulty, store } = played;
    const answers = [...clients.answers.values()];
    const lost = answers.filter(({ requestId, status, gaveUp, kept }) => {
        const ran = runs.get(requestId) ?? [];
        return status === 0 && !gaveUp && kept && ran.length > 0 && !ran.includes(faulty);
    });
    lost.forEach(({ requestId }) =>
        record.write(
            `lost: ${requestId} ran at ${
                runs.get(requestId).join()
            }, and its kept connection was closed without an answer`,
        )
    );
    const timeoutOf = ({ path: target }) => target.startsWith("/quote/") ? STREAM_TIMEOUT_MS : PLAIN_TIMEOUT_MS;
    const beyond = answers.filter((answer) => answer.tookMs > timeoutOf(answer));
    const late = beyond.filter((answer) => answer.tookMs > timeoutOf(answer) + LATE_MS);
    late.forEach(({ requestId, tookMs }) =>
        record.write(`late: ${requestId} had no answer after ${Math.round(tookMs)} ms`)
    );
    const summary =
        `${clients.count} requests, answers ${
            JSON.stringify(clients.statuses)
        }, ${played.endless} answers without end; `
        + `the host's process ended by itself ${played.ownEnds} times; LOST: ${lost.length} requests, ${ALLOWED} allowed; `
        + `CONFIG: of ${beyond.length} requests unanswered at the timeout, ${late.length} had no answer ${LATE_MS} ms later`;
    record.write(summary);
    console.log(summary);
    store.close();
    if (fleet.WITH_TROUBLE && played.endless === 0) {
        return 2;
    }
    const breaksConfig = late.length >= MIN_LATE && late.length > beyond.length / 2;
    return lost.length > ALLOWED || breaksConfig ? 1 : 0;
});
