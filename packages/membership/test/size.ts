import * as perfHooks from "node:perf_hooks";
import * as membership from "../src/index.js";

/** Measures mean times of one member, in microseconds, and sizes in bytes for a number of hosts: node size.js HOSTS. */
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
const namedRecords = records.map((record) => {
    const successors = membership.desiredSuccessors(record, records).map(({ host, session }) => ({ host, session }));
    return { ...record, successors };
});
const hosts = Object.fromEntries(namedRecords.map((record, index) => [record.host, {
    record,
    version: index + 2,
    leaseId: `lease-${index}`,
}]));
const table = membership.assignOwners({}, membership.desiredOwners(partitions, namedRecords));
const view: membership.View = { hostsRevision: 1_000, tableRevision: 1_000, hosts, tableVersion: 999, table };
const ownRecord = namedRecords[0] as membership.HostRecord;
const settings = { ...ownRecord, partitions, timing: membership.DEFAULT_TIMING };

function measureMean(times: number, run: (iteration: number) => void): number {
    const startedAt = perfHooks.performance.now();
    for (let iteration = 0; iteration < times; iteration++) {
        run(iteration);
    }
    return (perfHooks.performance.now() - startedAt) / times * 1_000;
}

let state = membership.createMemberState(settings, 0);
const dispatch = (event: membership.MemberEvent, now: number) =>
    state = membership.decideMember(state, event, now).state;
const makeViewEvent = (iteration: number): membership.MemberEvent => {
    const absent = namedRecords[1 + iteration % (count - 1)]?.host ?? "";
    const others = Object.fromEntries(Object.entries(hosts).filter(([host]) => host !== absent));
    return {
        kind: membership.EventKind.ViewUpdated,
        view: { ...view, hosts: others, hostsRevision: 1_000 + iteration },
    };
};
dispatch({ kind: membership.EventKind.ViewUpdated, view }, 0);
const tick: membership.MemberEvent = { kind: membership.EventKind.Tick };
measureMean(1_000, (iteration) => dispatch(tick, iteration));
const tickMicroseconds = measureMean(5_000, (iteration) => dispatch(tick, 1_000 + iteration * 100));
const viewMicroseconds = measureMean(200, (iteration) => dispatch(makeViewEvent(iteration), 600_000 + iteration));
process.stdout.write(`${
    JSON.stringify({
        hosts: count,
        tickMicroseconds: Math.round(tickMicroseconds),
        rosterChangeMicroseconds: Math.round(viewMicroseconds),
        recordBytes: JSON.stringify(namedRecords[0]).length,
        tableBytes: membership.serializeTable(partitions, table).length,
    })
}\n`);
