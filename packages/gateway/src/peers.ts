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
    Charged = "charged",
    /** Tells contents that were running when upstreams went down. */
    Crashes = "crashes",
    /** Tells what a reader of the store saw. */
    News = "news",
}

type Message =
    | {
        readonly kind: MessageKind.Charge;
        readonly id: number;
        readonly workspace: string;
        readonly limit: dispatch.QuotaLimit;
        readonly cost: number;
    }
    | { readonly kind: MessageKind.Charged; readonly id: number; readonly answer: dispatch.QuotaAnswer; }
    | { readonly kind: MessageKind.Crashes; readonly reports: readonly dispatch.CrashReport[]; }
    | { readonly kind: MessageKind.News; readonly news: routing.StoreNews; };

/** Time after which a charge is asked for once more: hosts are a millisecond apart. */
const ASK_AGAIN_MS = 12;
/** Times that a charge is asked for. */
const ASKS = 3;
/** How long an owner that did not answer is left alone. */
const SILENT_PAUSE_MS = 700;
/** Times that a crash is told: datagrams are lost now and then. */
const TELLINGS = 2;
/** Pause between the tellings. */
const TELL_AGAIN_MS = 60;
/** Reports in one datagram, so that it fits in an Ethernet frame. */
const REPORTS_A_DATAGRAM = 12;

/** What hosts tell each other, by datagrams. */
export interface Peers {
    /** Charges a workspace at its owner; at this host's part of the limit while the owner is silent. */
    readonly charge: (
        workspace: string,
        limit: dispatch.QuotaLimit,
        cost: number,
    ) => Promise<{ readonly answer: dispatch.QuotaAnswer; readonly decidedBy: string; }>;
    /** Tells all hosts of contents that were running when an upstream went down. */
    readonly tellCrashes: (reports: readonly dispatch.CrashReport[]) => void;
    /** Tells some hosts what this one read in the store. */
    readonly tellNews: (news: routing.StoreNews, hosts: readonly string[]) => void;
}

/** What peers are opened with. */
export interface PeersParts {
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly listen: settings.ListenAddress;
    readonly hosts: () => readonly string[];
    readonly quotaTolerance: () => number;
    readonly quotaWindowMs: decision.Milliseconds;
    readonly onCrash: (report: dispatch.CrashReport) => void;
    readonly onNews: (news: routing.StoreNews) => void;
}

/** Opens the port for messages between hosts. */
export async function openPeers(parts: PeersParts): Promise<Peers> {
    const { clock, listen, log } = parts;
    const self = `${listen.address}:${listen.port}`;
    const socket = dgram.createSocket("udp4");
    const owned = new dispatch.QuotaLedgers(parts.quotaWindowMs);
    const alone = new dispatch.QuotaLedgers(parts.quotaWindowMs);
    const waiting = new Map<number, (answer: dispatch.QuotaAnswer) => void>();
    const silentUntil = new Map<string, decision.Milliseconds>();
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
                const answer = owned.charge(message.workspace, message.limit, message.cost, clock());
                send({ kind: MessageKind.Charged, id: message.id, answer }, `${from.address}:${from.port}`);
                return;
            }
            case MessageKind.Charged:
                waiting.get(message.id)?.(message.answer);
                return;
            case MessageKind.Crashes:
                message.reports.forEach(parts.onCrash);
                return;
            case MessageKind.News:
                parts.onNews(message.news);
                return;
            case undefined:
                log.decision("datagram not readable", { from: from.address, bytes: bytes.length });
        }
    });
    await new Promise<void>((resolve) => socket.bind(listen.port, listen.address, resolve));
    parts.scope.own(() => new Promise((resolve) => socket.close(resolve)));
    const ask = (owner: string, workspace: string, limit: dispatch.QuotaLimit, cost: number) =>
        new Promise<dispatch.QuotaAnswer | undefined>((resolve) => {
            const id = ++lastId;
            let asks = 0;
            const finish = (answer: dispatch.QuotaAnswer | undefined) => {
                clearInterval(timer);
                waiting.delete(id);
                resolve(answer);
            };
            const askOnce = () => {
                if (asks++ >= ASKS) {
                    finish(undefined);
                    return;
                }
                send({ kind: MessageKind.Charge, id, workspace, limit, cost }, owner);
            };
            const timer = setInterval(askOnce, ASK_AGAIN_MS);
            waiting.set(id, finish);
            askOnce();
        });
    const chargeAlone = (workspace: string, limit: dispatch.QuotaLimit, cost: number) =>
        alone.charge(
            workspace,
            dispatch.cutOffLimit(limit, parts.quotaTolerance(), parts.hosts().length),
            cost,
            clock(),
        );
    return {
        charge: async (workspace, limit, cost) => {
            const owner = dispatch.ownerOf(parts.hosts(), workspace) ?? self;
            if (owner === self) {
                return { answer: owned.charge(workspace, limit, cost, clock()), decidedBy: "owner" };
            }
            if (clock() >= (silentUntil.get(owner) ?? 0)) {
                const answer = await ask(owner, workspace, limit, cost);
                if (answer) {
                    return { answer, decidedBy: owner };
                }
                silentUntil.set(owner, clock() + SILENT_PAUSE_MS);
                log.notice("quota owner silent", { owner, pauseMs: SILENT_PAUSE_MS });
            }
            return { answer: chargeAlone(workspace, limit, cost), decidedBy: "own part" };
        },
        tellNews: (news, hosts) => hosts.forEach((host) => send({ kind: MessageKind.News, news }, host)),
        tellCrashes: (reports) => {
            const tell = () => {
                for (const host of parts.hosts().filter((address) => address !== self)) {
                    for (let start = 0; start < reports.length; start += REPORTS_A_DATAGRAM) {
                        const part = reports.slice(start, start + REPORTS_A_DATAGRAM);
                        send({ kind: MessageKind.Crashes, reports: part }, host);
                    }
                }
            };
            for (let telling = 0; telling < TELLINGS; telling++) {
                setTimeout(tell, telling * TELL_AGAIN_MS).unref();
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
