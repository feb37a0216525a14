import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as dgram from "node:dgram";
import * as background from "./background.js";
import type * as limits from "./limits.js";
import type * as logs from "./log.js";
import * as messages from "./messages.js";
import type * as observations from "./observations.js";
import type * as quarantines from "./quarantine.js";
import type * as settings from "./settings.js";

/** Interval between the attempts of a charge: the latency between hosts is about a millisecond. */
const CHARGE_RETRY_MS = 12;
/** Number of times that a charge is requested. */
const MAX_CHARGE_ATTEMPTS = 3;
/** How long an owner that did not respond is not asked again. */
const OWNER_BACKOFF_MS = 700;
/** Number of times that a message to all hosts is sent, because datagrams may be lost. */
const BROADCAST_SENDS = 2;
/** Interval between the repeated sends of a message to all hosts. */
const BROADCAST_RESEND_MS = 60;

/** A charge that was decided. */
export interface Charge {
    readonly quotaDecision: dispatch.QuotaDecision;
    /** The host that decided, or a word for this one. */
    readonly decidedBy: string;
    /** Takes the charge back, if it was granted. The message may be lost: then the charge expires with its window. */
    readonly refund: () => void;
}

/** Messages between hosts, sent as UDP datagrams. */
export interface Peers {
    /**
     * Charges a workspace or upstream at its owner, or against this host's share of the limit while the owner does not
     * respond.
     */
    readonly charge: (
        ledger: messages.Ledger,
        name: string,
        limit: dispatch.QuotaLimit,
        cost: number,
    ) => Promise<Charge>;
    readonly quarantine: quarantines.QuarantineMessages;
    /** Asks the given hosts which zones are emptied. */
    readonly askEvacuations: (hosts: readonly string[]) => void;
    /** Tells all hosts the limit that an upstream has named; undefined if it names none any more. */
    readonly broadcastLimit: (incarnation: string, perSecond: number | undefined) => void;
    /** Tells the given hosts what was seen of upstreams. */
    readonly sendObservations: (told: readonly observations.ToldObservation[], hosts: readonly string[]) => void;
    /** Tells all hosts how long an upstream goes on to warm up, by an answer that this host has read. */
    readonly broadcastWarmUp: (incarnation: string, leftMs: decision.Milliseconds) => void;
    /** Sends a message about turns. */
    readonly sendTurnMessage: (message: messages.TurnMessage, host: string) => void;
    /** Tells the given hosts how long engines took. */
    readonly sendSpeeds: (samples: readonly dispatch.SpeedSamples[], hosts: readonly string[]) => void;
    /** Sends what this host read in the store to the given hosts. */
    readonly sendStoreUpdate: (update: routing.StoreUpdate, hosts: readonly string[]) => void;
}

export interface PeersOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly listen: settings.ListenAddress;
    readonly hosts: () => readonly string[];
    readonly quotaTolerance: () => number;
    readonly quotaWindowMs: decision.Milliseconds;
    /** Draws a number in [0, 1). */
    readonly random?: () => number;
    readonly quarantine: quarantines.Quarantine;
    readonly limits: limits.UpstreamLimits;
    readonly onStoreUpdate: (update: routing.StoreUpdate, from: string) => void;
    /** Called with what other hosts have seen of upstreams. */
    readonly onObservations?: (told: readonly observations.ToldObservation[]) => void;
    /** The emptied zones that this host tells to those that ask. */
    readonly evacuations: () => routing.EvacuationListing | undefined;
    readonly onEvacuations: (listing: routing.EvacuationListing, from: string) => void;
    readonly onTurnMessage: (message: messages.TurnMessage, from: string) => void;
    /** Called with how long engines took for other hosts. */
    readonly onSpeeds?: (samples: readonly dispatch.SpeedSamples[]) => void;
    /** Called for each datagram that is no message that this build knows. */
    readonly onUnread: (reason: messages.UnreadReason) => void;
}

/** Opens the UDP socket for messages between hosts. */
export async function openPeers(options: PeersOptions): Promise<Peers> {
    const { clock, listen, log } = options;
    const self = `${listen.address}:${listen.port}`;
    const socket = dgram.createSocket("udp4");
    const ownedQuotas: Record<messages.Ledger, dispatch.QuotaLimiter> = {
        [messages.Ledger.Workspaces]: new dispatch.QuotaLimiter(options.quotaWindowMs),
        [messages.Ledger.Upstreams]: new dispatch.QuotaLimiter(dispatch.LIMIT_WINDOW_MS),
    };
    const fallbackQuotas = new dispatch.QuotaLimiter(options.quotaWindowMs);
    const limitShare = new dispatch.LimitShare(options.random);
    /** Callbacks of the charges in flight, by message id. */
    const pendingCharges = new Map<number, (quotaDecision: dispatch.QuotaDecision) => void>();
    const backoffUntilByOwner = new Map<string, decision.Milliseconds>();
    let lastId = 0;
    const send = (message: messages.Message, address: string) => {
        // The socket closes with the scope.
        if (options.scope.closed) {
            return;
        }
        const [host, port] = address.split(":");
        socket.send(JSON.stringify(message), Number(port), host, (error) => {
            if (error) {
                log.decision("failed to send a datagram", { to: address, kind: message.kind, reason: error.message });
            }
        });
    };
    /** Sends the message that is right after the given delay to all other hosts, several times. */
    const broadcast = (makeMessage: (delayMs: decision.Milliseconds) => messages.Message) => {
        const startedAt = clock();
        const sendToAll = () => {
            const message = makeMessage(clock() - startedAt);
            options.hosts().filter((address) => address !== self).forEach((host) => send(message, host));
        };
        for (let repeat = 0; repeat < BROADCAST_SENDS; repeat++) {
            lifecycle.after(options.scope, repeat * BROADCAST_RESEND_MS, sendToAll);
        }
    };
    socket.on("error", (error) => log.notice("peer socket failed", { reason: error.message }));
    // Who is not registered may reach the port, and must not say what the store holds.
    const isHost = (sender: string) => options.hosts().includes(sender);
    const receive = (bytes: Buffer, from: dgram.RemoteInfo) => {
        const message = messages.parseMessage(bytes);
        const sender = `${from.address}:${from.port}`;
        switch (message?.kind) {
            case messages.MessageKind.Charge: {
                const owned = ownedQuotas[message.ledger];
                const quotaDecision = owned.charge(message.workspace, message.limit, message.cost, clock());
                send(
                    { kind: messages.MessageKind.ChargeReply, id: message.id, answer: quotaDecision },
                    `${from.address}:${from.port}`,
                );
                return;
            }
            case messages.MessageKind.ChargeReply:
                pendingCharges.get(message.id)?.(message.answer);
                return;
            case messages.MessageKind.Refund:
                ownedQuotas[message.ledger]
                    .refund(message.workspace, message.bucket, message.cost, clock());
                return;
            case messages.MessageKind.CrashReports:
                message.reports.forEach((report) => options.quarantine.receiveCrash(report));
                return;
            case messages.MessageKind.Limit:
                options.limits.receive(message.incarnation, message.perSecond);
                return;
            case messages.MessageKind.WarmUp:
                options.limits.warmUps.receive(message.incarnation, message.leftMs);
                return;
            case messages.MessageKind.Barred:
                options.quarantine.receiveBarred(message.fingerprints, from.address);
                return;
            case messages.MessageKind.Cleared:
                options.quarantine.receiveCleared(message.fingerprints);
                return;
            case messages.MessageKind.StoreUpdate: {
                const update = { ...message.news, configuration: message.news.configuration };
                options.onStoreUpdate(isHost(sender) ? update : routing.withoutContents(update), sender);
                return;
            }
            case messages.MessageKind.AskEvacuations: {
                const listing = options.evacuations();
                if (listing) {
                    send({ kind: messages.MessageKind.Evacuations, listing }, sender);
                }
                return;
            }
            case messages.MessageKind.Evacuations:
                if (isHost(sender)) {
                    options.onEvacuations(message.listing, sender);
                }
                return;
            case messages.MessageKind.Observations:
                options.onObservations?.(message.observations);
                return;
            case messages.MessageKind.TurnAsk:
            case messages.MessageKind.Turn:
            case messages.MessageKind.TurnReturned:
            case messages.MessageKind.Runs:
            case messages.MessageKind.Contention:
                options.onTurnMessage(message, sender);
                return;
            case messages.MessageKind.Speeds:
                options.onSpeeds?.(message.samples);
                return;
            case undefined: {
                const reason = messages.unreadReason(bytes);
                options.onUnread(reason);
                log.decision("malformed datagram", { from: from.address, bytes: bytes.length, reason });
            }
        }
    };
    socket.on("message", background.guardListener((error) => log.failure("receive datagram", error), receive));
    await new Promise<void>((resolve, reject) => {
        socket.once("error", reject);
        socket.bind(listen.port, listen.address, () => {
            socket.off("error", reject);
            resolve();
        });
    });
    options.scope.defer(() => new Promise((resolve) => socket.close(resolve)));
    const requestCharge = (
        owner: string,
        ledger: messages.Ledger,
        workspace: string,
        limit: dispatch.QuotaLimit,
        cost: number,
    ) => new Promise<dispatch.QuotaDecision | undefined>((resolve) => {
        const id = ++lastId;
        let attempts = 0;
        const finish = (quotaDecision: dispatch.QuotaDecision | undefined) => {
            clearInterval(timer);
            pendingCharges.delete(id);
            resolve(quotaDecision);
        };
        const sendCharge = () => {
            if (attempts++ >= MAX_CHARGE_ATTEMPTS) {
                finish(undefined);
                return;
            }
            send({ kind: messages.MessageKind.Charge, id, ledger, workspace, limit, cost }, owner);
        };
        const timer = setInterval(sendCharge, CHARGE_RETRY_MS);
        pendingCharges.set(id, finish);
        sendCharge();
    });
    const chargeLocally = (ledger: messages.Ledger, name: string, limit: dispatch.QuotaLimit, cost: number) => {
        const hostCount = options.hosts().length;
        if (ledger === messages.Ledger.Upstreams) {
            return limitShare.charge(name, limit.ratePerSecond, hostCount, clock());
        }
        const ownLimit = dispatch.fallbackLimit(limit, options.quotaTolerance(), hostCount);
        return fallbackQuotas.charge(name, ownLimit, cost, clock());
    };
    const makeCharge = (
        quotaDecision: dispatch.QuotaDecision,
        decidedBy: string,
        refund: (bucket: number) => void,
    ): Charge => ({
        quotaDecision,
        decidedBy,
        refund: () => {
            if (quotaDecision.granted && quotaDecision.bucket !== undefined) {
                refund(quotaDecision.bucket);
            }
        },
    });
    return {
        charge: async (ledger, name, limit, cost) => {
            const owner = dispatch.ownerOf(options.hosts(), name) ?? self;
            if (owner === self) {
                const owned = ownedQuotas[ledger];
                return makeCharge(
                    owned.charge(name, limit, cost, clock()),
                    "owner",
                    (bucket) => owned.refund(name, bucket, cost, clock()),
                );
            }
            if (clock() >= (backoffUntilByOwner.get(owner) ?? 0)) {
                const quotaDecision = await requestCharge(owner, ledger, name, limit, cost);
                if (quotaDecision) {
                    return makeCharge(
                        quotaDecision,
                        owner,
                        (bucket) =>
                            send({ kind: messages.MessageKind.Refund, ledger, workspace: name, bucket, cost }, owner),
                    );
                }
                backoffUntilByOwner.set(owner, clock() + OWNER_BACKOFF_MS);
                log.notice("quota owner did not respond; charging against the local share", {
                    owner,
                    pauseMs: OWNER_BACKOFF_MS,
                });
            }
            return makeCharge(
                chargeLocally(ledger, name, limit, cost),
                "local share",
                (bucket) => fallbackQuotas.refund(name, bucket, cost, clock()),
            );
        },
        broadcastLimit: (incarnation, perSecond) =>
            broadcast(() => ({
                kind: messages.MessageKind.Limit,
                incarnation,
                ...(perSecond === undefined ? {} : { perSecond }),
            })),
        sendObservations: (told, hosts) =>
            hosts.forEach((host) => send({ kind: messages.MessageKind.Observations, observations: [...told] }, host)),
        broadcastWarmUp: (incarnation, leftMs) =>
            broadcast((delayMs) => ({
                kind: messages.MessageKind.WarmUp,
                incarnation,
                leftMs: Math.max(0, leftMs - delayMs),
            })),
        sendTurnMessage: send,
        sendSpeeds: (samples, hosts) =>
            hosts.forEach((host) => send({ kind: messages.MessageKind.Speeds, samples: [...samples] }, host)),
        sendStoreUpdate: (update, hosts) =>
            hosts.forEach((host) => send({ kind: messages.MessageKind.StoreUpdate, news: update }, host)),
        askEvacuations: (hosts) => hosts.forEach((host) => send({ kind: messages.MessageKind.AskEvacuations }, host)),
        quarantine: {
            broadcastCrash: (report) =>
                broadcast((delayMs) => ({
                    kind: messages.MessageKind.CrashReports,
                    reports: [{ ...report, ranMs: Math.round(report.ranMs + delayMs) }],
                })),
            broadcastBarred: (fingerprints) => broadcast(() => ({ kind: messages.MessageKind.Barred, fingerprints })),
            broadcastCleared: (fingerprints) => broadcast(() => ({ kind: messages.MessageKind.Cleared, fingerprints })),
        },
    };
}
