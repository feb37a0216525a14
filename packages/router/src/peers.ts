import * as protobuf from "@bufbuild/protobuf";
import * as protocol from "@citronlead/protocol";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as http from "node:http";
import type * as contexts from "./context.js";

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

interface Outbox {
    readonly address: string;
    readonly waiting: protobuf.MessageInitShape<typeof protocol.PeerMessageSchema>[];
    underWay: boolean;
}

const DELIVERY_TIMEOUT_MS = 1_000;
/** Messages that wait beyond this number are dropped, oldest first: the peer is out of reach. */
const WAITING_LIMIT = 10_000;

/** Opens the peer port and makes the outboxes. */
export async function openPeers(context: contexts.Context): Promise<Peers> {
    const receivers = new Map<string, Receiver[]>();
    const outboxes = new Map<string, Outbox>();
    await listen(context, (request) => deliver(receivers, request));
    const clients = makeClients(context.control.agent);
    const flush = async (host: string, outbox: Outbox) => {
        outbox.underWay = true;
        while (outbox.waiting.length > 0 && !context.scope.closed) {
            const messages = outbox.waiting.splice(0);
            try {
                await clients(outbox.address).deliver({
                    sender: context.settings.host,
                    senderIncarnation: context.incarnation,
                    messages,
                });
            }
            catch (failure) {
                context.log.debug({ peer: host, reason: String(failure), lost: messages.length }, "messages lost");
            }
        }
        outbox.underWay = false;
    };
    return {
        send: (host, address, body) => {
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

type PeerClient = connect.Client<typeof protocol.PeerService>;

function makeClients(agent: http.Agent): (address: string) => PeerClient {
    const clients = new Map<string, PeerClient>();
    return (address) => {
        const known = clients.get(address);
        if (known) {
            return known;
        }
        const transport = connectNode.createConnectTransport({
            baseUrl: address,
            httpVersion: "1.1",
            nodeOptions: { agent },
            defaultTimeoutMs: DELIVERY_TIMEOUT_MS,
            acceptCompression: [],
        });
        const client = connect.createClient(protocol.PeerService, transport);
        clients.set(address, client);
        return client;
    };
}

function deliver(receivers: ReadonlyMap<string, Receiver[]>, request: protocol.DeliverRequest): void {
    for (const message of request.messages) {
        const arrival = { sender: request.sender, senderIncarnation: request.senderIncarnation, message };
        receivers.get(message.body.case ?? "")?.forEach((receiver) => receiver(arrival));
    }
}

async function listen(context: contexts.Context, take: (request: protocol.DeliverRequest) => void): Promise<void> {
    const handler = connectNode.connectNodeAdapter({
        acceptCompression: [],
        routes: (router) =>
            router.service(protocol.PeerService, {
                deliver: (request) => {
                    take(request);
                    return { receiverIncarnation: context.incarnation };
                },
            }),
    });
    const server = http.createServer(handler);
    context.control.watchServer(server);
    const { address, port } = context.settings.peers;
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
    context.scope.own(() =>
        new Promise((resolve) => {
            server.close(() => resolve());
            server.closeAllConnections();
        })
    );
}
