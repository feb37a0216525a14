import type * as protobuf from "@bufbuild/protobuf";
import * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as membership from "@citronlead/membership";
import * as propagation from "@citronlead/propagation";
import type * as protocol from "@citronlead/protocol";
import * as store from "./configurationstore.js";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";

type Action<Kind extends propagation.PropagationActionKind> = Extract<propagation.PropagationAction, { kind: Kind; }>;

type ConfigurationBody = protobuf.MessageInitShape<typeof protocol.ConfigurationMessageSchema>["body"];

/** Fetch a revision. */
export type FetchAction = Action<propagation.PropagationActionKind.Fetch>;

/** What the exchange works with. */
export interface ExchangeParts {
    readonly tell: (event: propagation.PropagationEvent) => void;
    /** The head and parts in force, or undefined before the first. */
    readonly held: () => configuration.StoredConfiguration | undefined;
}

/** A fetch from another host that is under way. */
interface PeerFetch {
    readonly from: string;
    readonly held: Map<string, string>;
    head: configuration.ConfigurationHead | undefined;
    readonly done: (head: configuration.ConfigurationHead | undefined) => void;
}

const AGE_UNIT_MS = 50;
const LONGEST_AGE = 255;
const PEER_FETCH_TIMEOUT_MS = 2_000;

/** Exchanges revisions, witnesses and whole configurations with the other hosts. */
export class ConfigurationExchange {
    private underWay: PeerFetch | undefined;

    constructor(
        private readonly context: contexts.Context,
        private readonly hosts: memberships.Membership,
        private readonly links: peers.Peers,
        private readonly parts: ExchangeParts,
    ) {
        links.receive("configuration", ({ sender, message }) => {
            if (message.body.case === "configuration") {
                this.take(sender, message.body.value);
            }
        });
    }

    /** Asks a host for its revision. */
    ask(action: Action<propagation.PropagationActionKind.Ask>): void {
        const { exchange, revision, withWitnesses } = action;
        this.send(action.peer, { case: "revisionRequest", value: { exchange, revision, withWitnesses } });
    }

    /** Replies to a host that asked. */
    reply(action: Action<propagation.PropagationActionKind.Reply>): void {
        const ages = action.witnesses.map(({ agoMs }) => Math.min(LONGEST_AGE, Math.ceil(agoMs / AGE_UNIT_MS)));
        this.send(action.peer, {
            case: "revisionReply",
            value: {
                exchange: action.exchange,
                inForce: action.inForce,
                revision: action.revision,
                confirmedAgoMs: action.confirmedAgoMs ?? -1,
                witnesses: action.witnesses.map(({ host }) => membership.hashNumber(host)),
                witnessAges: Uint8Array.from(ages),
            },
        });
    }

    /** Fetches what a host has in force. Adds the parts; returns the head, or undefined if it did not come whole. */
    async fetch(from: string, held: Map<string, string>): Promise<configuration.ConfigurationHead | undefined> {
        this.underWay?.done(undefined);
        const fetching = new Promise<configuration.ConfigurationHead | undefined>((done) => {
            this.underWay = { from, held, head: undefined, done };
        });
        const cancel = lifecycle.after(
            this.context.scope,
            PEER_FETCH_TIMEOUT_MS,
            () => this.underWay?.done(undefined),
        );
        this.send(from, { case: "configurationRequest", value: { hashes: [] } });
        const head = await fetching;
        cancel();
        this.underWay = undefined;
        return head;
    }

    private take(sender: string, message: protocol.ConfigurationMessage): void {
        const { body } = message;
        switch (body.case) {
            case "revisionRequest":
                return this.parts.tell({
                    kind: propagation.PropagationEventKind.PeerAsked,
                    peer: sender,
                    exchange: body.value.exchange,
                    revision: body.value.revision,
                    withWitnesses: body.value.withWitnesses,
                });
            case "revisionReply":
                return this.takeReply(sender, body.value);
            case "configurationRequest":
                return this.hand(sender, body.value.hashes);
            case "configurationHead":
                return this.takeHead(sender, body.value.text);
            case "configurationPart":
                return this.takePart(sender, body.value.text);
        }
    }

    private takeReply(sender: string, reply: protocol.ConfigurationRevisionReply): void {
        const names = reply.witnesses.length > 0 ? this.namesByHash() : new Map<number, string>();
        const witnesses = reply.witnesses.flatMap((hash, index) => {
            const host = names.get(hash);
            return host === undefined ? [] : [{ host, agoMs: (reply.witnessAges[index] ?? LONGEST_AGE) * AGE_UNIT_MS }];
        });
        this.parts.tell({
            kind: propagation.PropagationEventKind.PeerReplied,
            peer: sender,
            exchange: reply.exchange,
            inForce: reply.inForce,
            revision: reply.revision,
            confirmedAgoMs: reply.confirmedAgoMs < 0 ? undefined : reply.confirmedAgoMs,
            witnesses,
        });
    }

    /** Hosts by the hash of their names, without those whose hashes are the same. */
    private namesByHash(): ReadonlyMap<number, string> {
        const names = new Map<number, string>();
        const shared = new Set<number>();
        for (const { host } of this.hosts.roster()) {
            const hash = membership.hashNumber(host);
            if (names.has(hash)) {
                shared.add(hash);
            }
            names.set(hash, host);
        }
        shared.forEach((hash) => names.delete(hash));
        return names;
    }

    private hand(peer: string, hashes: readonly string[]): void {
        const held = this.parts.held();
        if (!held) {
            return;
        }
        if (hashes.length === 0) {
            const { revision } = held.head;
            const text = configuration.writeHead(held.head);
            this.send(peer, { case: "configurationHead", value: { revision, text } });
        }
        for (const hash of hashes) {
            const text = held.parts.get(hash);
            if (text !== undefined) {
                this.send(peer, { case: "configurationPart", value: { hash, text } });
            }
        }
    }

    private takeHead(sender: string, text: string): void {
        const fetching = this.underWay;
        if (fetching?.from !== sender || fetching.head) {
            return;
        }
        fetching.head = configuration.readHead(text);
        const missing = this.missing(fetching);
        if (missing.length > 0) {
            this.send(sender, { case: "configurationRequest", value: { hashes: missing } });
        }
        this.finishFetch(fetching);
    }

    private takePart(sender: string, text: string): void {
        const fetching = this.underWay;
        if (fetching?.from === sender && fetching.head) {
            store.addPart(fetching.head, fetching.held, text);
            this.finishFetch(fetching);
        }
    }

    private missing(fetching: PeerFetch): string[] {
        const wanted = fetching.head ? configuration.partHashes(fetching.head) : [];
        return wanted.filter((hash) => !fetching.held.has(hash));
    }

    private finishFetch(fetching: PeerFetch): void {
        if (fetching.head && this.missing(fetching).length === 0) {
            fetching.done(fetching.head);
        }
    }

    private send(peer: string, body: ConfigurationBody): void {
        const known = this.hosts.roster().find((candidate) => candidate.host === peer);
        if (known) {
            this.links.send(peer, known.peerAddress, { case: "configuration", value: { body } });
        }
        else {
            this.context.log.debug({ peer }, "host is not in the roster");
        }
    }
}
