import * as perfHooks from "node:perf_hooks";
import * as membership from "../src/index.js";

/** Measures what one member costs at the size of a fleet: node size.js HOSTS. Times are means, in microseconds. */
const count = Number(process.argv[2] ?? 380);
const ZONES = 7;
const partitions = membership.allPartitions();
const records = Array.from({ length: count }, (_, index): membership.HostRecord => ({
    host: `zone-${index % ZONES}-host-${index}`,
    incarnation: `00000000-0000-4000-8000-${String(index).padStart(12, "0")}`,
    session: `00000000-0000-4000-8000-${String(index).padStart(12, "0")}.2`,
    availabilityZone: `zone-${index % ZONES}`,
    peerAddress: `http://10.0.${index >> 8}.${index & 255}:7001`,
    successors: [],
}));
const named = records.map((record) => {
    const successors = membership.desiredSuccessors(record, records).map(({ host, session }) => ({ host, session }));
    return { ...record, successors };
});
const hosts = Object.fromEntries(named.map((record, index) => [record.host, {
    record,
    version: index + 2,
    leaseId: `lease-${index}`,
}]));
const table = membership.assignOwners({}, membership.wantedOwners(partitions, named));
const view: membership.View = { hostsRevision: 1_000, tableRevision: 1_000, hosts, tableVersion: 999, table };
const own = named[0] as membership.HostRecord;
const settings = { ...own, partitions, timing: membership.DEFAULT_TIMING };

function mean(times: number, run: (turn: number) => void): number {
    const startedAt = perfHooks.performance.now();
    for (let turn = 0; turn < times; turn++) {
        run(turn);
    }
    return (perfHooks.performance.now() - startedAt) / times * 1_000;
}

let state = membership.startMember(settings, 0);
const happen = (event: membership.MemberEvent, now: number) => state = membership.decideMember(state, event, now).state;
const viewed = (turn: number): membership.MemberEvent => {
    const absent = named[1 + turn % (count - 1)]?.host ?? "";
    const others = Object.fromEntries(Object.entries(hosts).filter(([host]) => host !== absent));
    return {
        kind: membership.EventKind.Viewed,
        view: { ...view, hosts: others, hostsRevision: 1_000 + turn },
    };
};
happen({ kind: membership.EventKind.Viewed, view }, 0);
const tick: membership.MemberEvent = { kind: membership.EventKind.Tick };
mean(1_000, (turn) => happen(tick, turn));
const tickMicroseconds = mean(5_000, (turn) => happen(tick, 1_000 + turn * 100));
const viewMicroseconds = mean(200, (turn) => happen(viewed(turn), 600_000 + turn));
process.stdout.write(`${
    JSON.stringify({
        hosts: count,
        tickMicroseconds: Math.round(tickMicroseconds),
        rosterChangeMicroseconds: Math.round(viewMicroseconds),
        recordBytes: JSON.stringify(named[0]).length,
        tableBytes: membership.serializeTable(partitions, table).length,
    })
}\n`);
