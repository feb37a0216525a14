import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import type * as lifecycle from "@citronlead/lifecycle";
import type * as routing from "@citronlead/routing";
import * as dgram from "node:dgram";
import type * as logs from "./log.js";
import type * as settings from "./settings.js";

/** The kinds of message between hosts. */
enum MessageKind {
    /** Asks the owner of a workspace's bucket for a charge. */
    Charge = "charge",
    ChargeReply = "charged",
    /** Tells contents that were running when upstreams went down. */
    CrashReports = "crashes",
    /** Tells what a reader of the store saw. */
    StoreUpdate = "news",
}

type Message =
    | {
        readonly kind: MessageKind.Charge;
        readonly id: number;
        readonly workspace: string;
        readonly limit: dispatch.QuotaLimit;
        readonly cost: number;
    }
    | { readonly kind: MessageKind.ChargeReply; readonly id: number; readonly answer: dispatch.QuotaDecision; }
    | { readonly kind: MessageKind.CrashReports; readonly reports: readonly dispatch.CrashReport[]; }
    | { readonly kind: MessageKind.StoreUpdate; readonly news: routing.StoreUpdate; };

/** Time after which a charge is asked for once more: hosts are a millisecond apart. */
const CHARGE_RETRY_MS = 12;
/** Times that a charge is asked for. */
const MAX_CHARGE_ATTEMPTS = 3;
/** How long an owner that did not answer is left alone. */
const OWNER_BACKOFF_MS = 700;
/** Times that a crash is told: datagrams are lost now and then. */
const CRASH_REPORT_SENDS = 2;
/** Pause between the tellings. */
const CRASH_REPORT_RESEND_MS = 60;
/** Reports in one datagram, so that it fits in an Ethernet frame. */
const REPORTS_PER_DATAGRAM = 12;

/** What hosts tell each other, by datagrams. */
export interface Peers {
    /** Charges a workspace at its owner; at this host's part of the limit while the owner is silent. */
    readonly charge: (
        workspace: string,
        limit: dispatch.QuotaLimit,
        cost: number,
    ) => Promise<{ readonly answer: dispatch.QuotaDecision; readonly decidedBy: string; }>;
    /** Tells all hosts of contents that were running when an upstream went down. */
    readonly broadcastCrashes: (reports: readonly dispatch.CrashReport[]) => void;
    /** Tells some hosts what this one read in the store. */
    readonly sendStoreUpdate: (news: routing.StoreUpdate, hosts: readonly string[]) => void;
}

/** What peers are opened with. */
export interface PeersOptions {
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly listen: settings.ListenAddress;
    readonly hosts: () => readonly string[];
    readonly quotaTolerance: () => number;
    readonly quotaWindowMs: decision.Milliseconds;
    readonly onCrash: (report: dispatch.CrashReport) => void;
    readonly onStoreUpdate: (news: routing.StoreUpdate) => void;
}

/** Opens the port for messages between hosts. */
export async function openPeers(options: PeersOptions): Promise<Peers> {
    const { clock, listen, log } = options;
    const self = `${listen.address}:${listen.port}`;
    const socket = dgram.createSocket("udp4");
    const ownedQuotas = new dispatch.QuotaLimiter(options.quotaWindowMs);
    const fallbackQuotas = new dispatch.QuotaLimiter(options.quotaWindowMs);
    const pendingCharges = new Map<number, (answer: dispatch.QuotaDecision) => void>();
    const backoffUntilByOwner = new Map<string, decision.Milliseconds>();
    let lastId = 0;
    const send = (message: Message, address: string) => {
        const [host, port] = address.split(":");
        socket.send(JSON.stringify(message), Number(port), host, (error) => {
            if (error) {
                log.decision("datagram not sent", { to: address, kind: message.kind, reason: error.message });
            }
        });
    };
    socket.on("error", (error) => log.notice("peer port failed", { reason: error.message }));
    socket.on("message", (bytes, from) => {
        const message = parse(bytes);
        switch (message?.kind) {
            case MessageKind.Charge: {
                const answer = ownedQuotas.charge(message.workspace, message.limit, message.cost, clock());
                send({ kind: MessageKind.ChargeReply, id: message.id, answer }, `${from.address}:${from.port}`);
                return;
            }
            case MessageKind.ChargeReply:
                pendingCharges.get(message.id)?.(message.answer);
                return;
            case MessageKind.CrashReports:
                message.reports.forEach(options.onCrash);
                return;
            case MessageKind.StoreUpdate:
                options.onStoreUpdate(message.news);
                return;
            case undefined:
                log.decision("datagram not readable", { from: from.address, bytes: bytes.length });
        }
    });
    await new Promise<void>((resolve) => socket.bind(listen.port, listen.address, resolve));
    options.scope.own(() => new Promise((resolve) => socket.close(resolve)));
    const requestCharge = (owner: string, workspace: string, limit: dispatch.QuotaLimit, cost: number) =>
        new Promise<dispatch.QuotaDecision | undefined>((resolve) => {
            const id = ++lastId;
            let attempts = 0;
            const finish = (answer: dispatch.QuotaDecision | undefined) => {
                clearInterval(timer);
                pendingCharges.delete(id);
                resolve(answer);
            };
            const sendCharge = () => {
                if (attempts++ >= MAX_CHARGE_ATTEMPTS) {
                    finish(undefined);
                    return;
                }
                send({ kind: MessageKind.Charge, id, workspace, limit, cost }, owner);
            };
            const timer = setInterval(sendCharge, CHARGE_RETRY_MS);
            pendingCharges.set(id, finish);
            sendCharge();
        });
    const chargeLocally = (workspace: string, limit: dispatch.QuotaLimit, cost: number) =>
        fallbackQuotas.charge(
            workspace,
            dispatch.fallbackLimit(limit, options.quotaTolerance(), options.hosts().length),
            cost,
            clock(),
        );
    return {
        charge: async (workspace, limit, cost) => {
            const owner = dispatch.ownerOf(options.hosts(), workspace) ?? self;
            if (owner === self) {
                return { answer: ownedQuotas.charge(workspace, limit, cost, clock()), decidedBy: "owner" };
            }
            if (clock() >= (backoffUntilByOwner.get(owner) ?? 0)) {
                const answer = await requestCharge(owner, workspace, limit, cost);
                if (answer) {
                    return { answer, decidedBy: owner };
                }
                backoffUntilByOwner.set(owner, clock() + OWNER_BACKOFF_MS);
                log.notice("quota owner silent", { owner, pauseMs: OWNER_BACKOFF_MS });
            }
            return { answer: chargeLocally(workspace, limit, cost), decidedBy: "own part" };
        },
        sendStoreUpdate: (news, hosts) => hosts.forEach((host) => send({ kind: MessageKind.StoreUpdate, news }, host)),
        broadcastCrashes: (reports) => {
            const broadcast = () => {
                for (const host of options.hosts().filter((address) => address !== self)) {
                    for (let start = 0; start < reports.length; start += REPORTS_PER_DATAGRAM) {
                        const batch = reports.slice(start, start + REPORTS_PER_DATAGRAM);
                        send({ kind: MessageKind.CrashReports, reports: batch }, host);
                    }
                }
            };
            for (let repeat = 0; repeat < CRASH_REPORT_SENDS; repeat++) {
                setTimeout(broadcast, repeat * CRASH_REPORT_RESEND_MS).unref();
            }
        },
    };
}

function parse(bytes: Buffer): Message | undefined {
    try {
        const message = JSON.parse(bytes.toString("utf8")) as Message;
        return Object.values(MessageKind).includes(message.kind) ? message : undefined;
    }
    catch {
        return undefined;
    }
}
