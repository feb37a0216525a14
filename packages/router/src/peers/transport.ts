import * as protobuf from "@bufbuild/protobuf";
import * as protocol from "@citronlead/protocol";
import * as http from "node:http";
import type * as contexts from "../context.js";
import * as listening from "../listening.js";
import * as peerCalls from "./call.js";

/** The body of a message between routers, before encoding. */
export type PeerBody = protobuf.MessageInitShape<typeof protocol.PeerMessageSchema>["body"];

/** A message received from another router. */
export interface ReceivedMessage {
    readonly sender: string;
    readonly senderIncarnation: string;
    readonly message: protocol.PeerMessage;
}

/** Handles a received message. */
export type MessageHandler = (received: ReceivedMessage) => void;

/** Exchanges messages with the other routers. Delivery is at most once: a lost message is not retried here. */
export interface PeerTransport {
    /** Queues a message for a host, at the base address of its peer port. Messages to one host are sent in batches. */
    readonly send: (host: string, address: string, body: PeerBody) => void;
    /** Adds a handler for messages of one kind. */
    readonly onMessage: (kind: NonNullable<protocol.PeerMessage["body"]["case"]>, handler: MessageHandler) => void;
}

type OutgoingMessage = protobuf.MessageInitShape<typeof protocol.PeerMessageSchema>;

interface Outbox {
    readonly address: string;
    readonly queued: OutgoingMessage[];
    flushing: boolean;
}

/** A batch that is being handled. Messages sent to its sender meanwhile are returned in the response. */
interface IncomingBatch {
    readonly sender: string;
    readonly replies: OutgoingMessage[];
}

/** Messages from one router, taken from a batch or from the response to one. */
interface MessageBatch {
    readonly sender: string;
    readonly senderIncarnation: string;
    readonly messages: readonly protocol.PeerMessage[];
}

const DELIVERY_TIMEOUT_MS = 1_000;
/** Above this number the oldest queued messages are dropped: a peer with such a backlog counts as unreachable. */
const MAX_QUEUED_MESSAGES = 10_000;

/** Opens the peer port and returns the transport. */
export async function openPeerTransport(context: contexts.Context): Promise<PeerTransport> {
    const handlers = new Map<string, MessageHandler[]>();
    const outboxes = new Map<string, Outbox>();
    let incoming: IncomingBatch | undefined;
    await openServer(context, (request) => {
        const batch: IncomingBatch = { sender: request.sender, replies: [] };
        incoming = batch;
        try {
            dispatch(handlers, request);
        }
        finally {
            incoming = undefined;
        }
        return batch.replies;
    });
    const flush = async (host: string, outbox: Outbox) => {
        outbox.flushing = true;
        while (outbox.queued.length > 0 && !context.scope.closed) {
            const messages = outbox.queued.splice(0);
            let response: MessageBatch | undefined;
            try {
                const batch = { sender: context.settings.host, senderIncarnation: context.incarnation, messages };
                const { agent } = context.control;
                const answer = await peerCalls.deliver(agent, outbox.address, batch, DELIVERY_TIMEOUT_MS);
                response = {
                    sender: host,
                    senderIncarnation: answer.receiverIncarnation,
                    messages: answer.messages,
                };
            }
            catch (failure) {
                context.log.debug(
                    { peer: host, reason: String(failure), lost: messages.length },
                    "call to a peer failed; messages lost",
                );
            }
            if (response) {
                dispatch(handlers, response);
            }
        }
        outbox.flushing = false;
    };
    return {
        send: (host, address, body) => {
            if (incoming?.sender === host) {
                incoming.replies.push({ body });
                return;
            }
            let outbox = outboxes.get(host);
            if (!outbox || outbox.address !== address) {
                outbox = { address, queued: [], flushing: false };
                outboxes.set(host, outbox);
            }
            outbox.queued.push({ body });
            outbox.queued.splice(0, Math.max(0, outbox.queued.length - MAX_QUEUED_MESSAGES));
            if (!outbox.flushing) {
                outbox.flushing = true;
                const target = outbox;
                setImmediate(() => void flush(host, target));
            }
        },
        onMessage: (kind, handler) => handlers.set(kind, [...(handlers.get(kind) ?? []), handler]),
    };
}

function dispatch(handlers: ReadonlyMap<string, MessageHandler[]>, batch: MessageBatch): void {
    for (const message of batch.messages) {
        const received = { sender: batch.sender, senderIncarnation: batch.senderIncarnation, message };
        handlers.get(message.body.case ?? "")?.forEach((handler) => handler(received));
    }
}

async function openServer(
    context: contexts.Context,
    handleBatch: (request: protocol.DeliverRequest) => OutgoingMessage[],
): Promise<void> {
    const handler = peerCalls.makeDeliverHandler((request) => ({
        receiverIncarnation: context.incarnation,
        messages: handleBatch(request),
    }));
    const server = http.createServer(handler);
    context.control.watchServer(server);
    await listening.listen(context.scope, server, context.settings.peers);
}
