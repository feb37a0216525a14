import * as protobuf from "@bufbuild/protobuf";
import * as protocol from "@citronlead/protocol";
import * as http from "node:http";
import type * as contexts from "./context.js";
import * as listening from "./listening.js";
import * as peerCalls from "./peercall.js";

/** The body of a message between routers, ready to be encoded. */
export type PeerBody = protobuf.MessageInitShape<typeof protocol.PeerMessageSchema>["body"];

/** A message that arrived from another router. */
export interface Arrival {
    readonly sender: string;
    readonly senderIncarnation: string;
    readonly message: protocol.PeerMessage;
}

/** Takes in a message. */
export type Receiver = (arrival: Arrival) => void;

/** Sends to and receives from the other routers. Messages may be lost; none is sent again by this part. */
export interface Peers {
    /** Sends to a host at the base address of its peer port. Messages to one host travel in batches. */
    readonly send: (host: string, address: string, body: PeerBody) => void;
    /** Takes in messages of one kind. */
    readonly receive: (kind: NonNullable<protocol.PeerMessage["body"]["case"]>, receiver: Receiver) => void;
}

type Outgoing = protobuf.MessageInitShape<typeof protocol.PeerMessageSchema>;

interface Outbox {
    readonly address: string;
    readonly waiting: Outgoing[];
    underWay: boolean;
}

/** A batch that is being taken in: what is sent to its sender meanwhile goes back with the answer to the call. */
interface TakenBatch {
    readonly sender: string;
    readonly answers: Outgoing[];
}

/** Messages of one router, from a batch or from the answer to one. */
interface Batch {
    readonly sender: string;
    readonly senderIncarnation: string;
    readonly messages: readonly protocol.PeerMessage[];
}

const DELIVERY_TIMEOUT_MS = 1_000;
/** Messages that wait beyond this number are dropped, oldest first: the peer is out of reach. */
const WAITING_LIMIT = 10_000;

/** Opens the peer port and makes the outboxes. */
export async function openPeers(context: contexts.Context): Promise<Peers> {
    const receivers = new Map<string, Receiver[]>();
    const outboxes = new Map<string, Outbox>();
    let taken: TakenBatch | undefined;
    await listen(context, (request) => {
        const batch: TakenBatch = { sender: request.sender, answers: [] };
        taken = batch;
        try {
            deliver(receivers, request);
        }
        finally {
            taken = undefined;
        }
        return batch.answers;
    });
    const flush = async (host: string, outbox: Outbox) => {
        outbox.underWay = true;
        while (outbox.waiting.length > 0 && !context.scope.closed) {
            const messages = outbox.waiting.splice(0);
            let answered: Batch | undefined;
            try {
                const batch = { sender: context.settings.host, senderIncarnation: context.incarnation, messages };
                const { agent } = context.control;
                const answer = await peerCalls.deliver(agent, outbox.address, batch, DELIVERY_TIMEOUT_MS);
                answered = { sender: host, senderIncarnation: answer.receiverIncarnation, messages: answer.messages };
            }
            catch (failure) {
                context.log.debug({ peer: host, reason: String(failure), lost: messages.length }, "messages lost");
            }
            if (answered) {
                deliver(receivers, answered);
            }
        }
        outbox.underWay = false;
    };
    return {
        send: (host, address, body) => {
            if (taken?.sender === host) {
                taken.answers.push({ body });
                return;
            }
            let outbox = outboxes.get(host);
            if (!outbox || outbox.address !== address) {
                outbox = { address, waiting: [], underWay: false };
                outboxes.set(host, outbox);
            }
            outbox.waiting.push({ body });
            outbox.waiting.splice(0, Math.max(0, outbox.waiting.length - WAITING_LIMIT));
            if (!outbox.underWay) {
                outbox.underWay = true;
                const ready = outbox;
                setImmediate(() => void flush(host, ready));
            }
        },
        receive: (kind, receiver) => receivers.set(kind, [...(receivers.get(kind) ?? []), receiver]),
    };
}

function deliver(receivers: ReadonlyMap<string, Receiver[]>, batch: Batch): void {
    for (const message of batch.messages) {
        const arrival = { sender: batch.sender, senderIncarnation: batch.senderIncarnation, message };
        receivers.get(message.body.case ?? "")?.forEach((receiver) => receiver(arrival));
    }
}

async function listen(
    context: contexts.Context,
    take: (request: protocol.DeliverRequest) => Outgoing[],
): Promise<void> {
    const handler = peerCalls.makeHandler((request) => ({
        receiverIncarnation: context.incarnation,
        messages: take(request),
    }));
    const server = http.createServer(handler);
    context.control.watchServer(server);
    await listening.listen(context.scope, server, context.settings.peers);
}
