import type * as protobuf from "@bufbuild/protobuf";
import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as membershipDecisions from "@citronlead/membership";
import * as propagation from "@citronlead/propagation";
import type * as protocol from "@citronlead/protocol";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as peers from "../peers/transport.js";
import * as store from "./store.js";

type Action<Kind extends propagation.PropagationActionKind> = Extract<propagation.PropagationAction, { kind: Kind; }>;

type ConfigurationBody = protobuf.MessageInitShape<typeof protocol.ConfigurationMessageSchema>["body"];

/** The action that fetches a revision. */
export type FetchAction = Action<propagation.PropagationActionKind.Fetch>;

/** How the exchange reaches the router component that follows the configuration. */
export interface ExchangeCallbacks {
    readonly dispatch: (event: propagation.PropagationEvent) => void;
    /** The head and parts in force; undefined before the first configuration. */
    readonly stored: () => configuration.StoredConfiguration | undefined;
}

/** A fetch from another host that is in progress. */
interface PeerFetch {
    readonly from: string;
    readonly parts: Map<string, string>;
    head: configuration.ConfigurationHead | undefined;
    readonly resolve: (head: configuration.ConfigurationHead | undefined) => void;
}

/** Witness ages travel as one byte each, in this unit. */
const WITNESS_AGE_UNIT_MS = 50;
const MAX_WITNESS_AGE_UNITS = 255;
const PEER_FETCH_TIMEOUT_MS = 2_000;

/**
 * Exchanges configuration revisions and whole configurations with the other hosts. A reply may name witnesses: hosts
 * that had heard of no higher revision, and how long ago.
 */
export class ConfigurationExchange {
    private currentFetch: PeerFetch | undefined;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        private readonly transport: peers.PeerTransport,
        private readonly callbacks: ExchangeCallbacks,
    ) {
        transport.onMessage("configuration", ({ sender, message }) => {
            if (message.body.case === "configuration") {
                this.handleMessage(sender, message.body.value);
            }
        });
    }

    /** Asks a host for its configuration revision. */
    requestRevision(action: Action<propagation.PropagationActionKind.SendRevisionRequest>): void {
        const { exchange, revision, withWitnesses } = action;
        this.send(action.peer, { case: "revisionRequest", value: { exchange, revision, withWitnesses } });
    }

    /** Answers a host that asked for this host's revision. */
    sendRevision(action: Action<propagation.PropagationActionKind.SendRevisionReply>): void {
        const ages = action.witnesses.map(({ agoMs }) =>
            Math.min(MAX_WITNESS_AGE_UNITS, Math.ceil(agoMs / WITNESS_AGE_UNIT_MS))
        );
        this.send(action.peer, {
            case: "revisionReply",
            value: {
                exchange: action.exchange,
                inForce: action.inForce,
                revision: action.revision,
                confirmedAgoMs: action.confirmedAgoMs ?? -1,
                witnesses: action.witnesses.map(({ host }) => membershipDecisions.stableHash(host)),
                witnessAges: Uint8Array.from(ages),
            },
        });
    }

    /** Fetches the configuration in force at a host and adds its parts. Returns undefined unless all arrive in time. */
    async fetch(from: string, parts: Map<string, string>): Promise<configuration.ConfigurationHead | undefined> {
        this.currentFetch?.resolve(undefined);
        const result = new Promise<configuration.ConfigurationHead | undefined>((resolve) => {
            this.currentFetch = { from, parts, head: undefined, resolve };
        });
        const cancel = lifecycle.after(
            this.context.scope,
            PEER_FETCH_TIMEOUT_MS,
            () => this.currentFetch?.resolve(undefined),
        );
        this.send(from, { case: "configurationRequest", value: { hashes: [] } });
        const head = await result;
        cancel();
        this.currentFetch = undefined;
        return head;
    }

    private handleMessage(sender: string, message: protocol.ConfigurationMessage): void {
        const { body } = message;
        switch (body.case) {
            case "revisionRequest":
                return this.callbacks.dispatch({
                    kind: propagation.PropagationEventKind.RevisionRequestReceived,
                    peer: sender,
                    exchange: body.value.exchange,
                    revision: body.value.revision,
                    withWitnesses: body.value.withWitnesses,
                });
            case "revisionReply":
                return this.handleRevisionReply(sender, body.value);
            case "configurationRequest":
                return this.handleConfigurationRequest(sender, body.value.hashes);
            case "configurationHead":
                return this.handleHead(sender, body.value.text);
            case "configurationPart":
                return this.handlePart(sender, body.value.text);
        }
    }

    private handleRevisionReply(sender: string, reply: protocol.ConfigurationRevisionReply): void {
        const hosts = reply.witnesses.length > 0 ? this.hostsByHash() : new Map<number, string>();
        const witnesses = reply.witnesses.flatMap((hash, index) => {
            const host = hosts.get(hash);
            return host === undefined
                ? []
                : [{ host, agoMs: (reply.witnessAges[index] ?? MAX_WITNESS_AGE_UNITS) * WITNESS_AGE_UNIT_MS }];
        });
        this.callbacks.dispatch({
            kind: propagation.PropagationEventKind.RevisionReplyReceived,
            peer: sender,
            exchange: reply.exchange,
            inForce: reply.inForce,
            revision: reply.revision,
            confirmedAgoMs: reply.confirmedAgoMs < 0 ? undefined : reply.confirmedAgoMs,
            witnesses,
        });
    }

    /** Hosts by the hash of their names, without hosts whose hashes collide. */
    private hostsByHash(): ReadonlyMap<number, string> {
        const hosts = new Map<number, string>();
        const collisions = new Set<number>();
        for (const { host } of this.membership.roster()) {
            const hash = membershipDecisions.stableHash(host);
            if (hosts.has(hash)) {
                collisions.add(hash);
            }
            hosts.set(hash, host);
        }
        collisions.forEach((hash) => hosts.delete(hash));
        return hosts;
    }

    private handleConfigurationRequest(peer: string, hashes: readonly string[]): void {
        const stored = this.callbacks.stored();
        if (!stored) {
            return;
        }
        if (hashes.length === 0) {
            const { revision } = stored.head;
            const text = configuration.serializeHead(stored.head);
            this.send(peer, { case: "configurationHead", value: { revision, text } });
        }
        for (const hash of hashes) {
            const text = stored.parts.get(hash);
            if (text !== undefined) {
                this.send(peer, { case: "configurationPart", value: { hash, text } });
            }
        }
    }

    private handleHead(sender: string, text: string): void {
        const fetching = this.currentFetch;
        if (fetching?.from !== sender || fetching.head) {
            return;
        }
        fetching.head = configuration.parseHead(text);
        const missing = this.missingParts(fetching);
        if (missing.length > 0) {
            this.send(sender, { case: "configurationRequest", value: { hashes: missing } });
        }
        this.finishFetch(fetching);
    }

    private handlePart(sender: string, text: string): void {
        const fetching = this.currentFetch;
        if (fetching?.from === sender && fetching.head) {
            store.addPart(fetching.head, fetching.parts, text);
            this.finishFetch(fetching);
        }
    }

    private missingParts(fetching: PeerFetch): string[] {
        const wanted = fetching.head ? configuration.partHashes(fetching.head) : [];
        return wanted.filter((hash) => !fetching.parts.has(hash));
    }

    private finishFetch(fetching: PeerFetch): void {
        if (fetching.head && this.missingParts(fetching).length === 0) {
            fetching.resolve(fetching.head);
        }
    }

    private send(peer: string, body: ConfigurationBody): void {
        const target = this.membership.roster().find((candidate) => candidate.host === peer);
        if (target) {
            this.transport.send(peer, target.peerAddress, { case: "configuration", value: { body } });
        }
        else {
            this.context.log.debug({ peer }, "message not sent: the host is not in the roster");
        }
    }
}
