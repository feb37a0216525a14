import * as protobuf from "@bufbuild/protobuf";
import type * as decision from "@citronlead/decision";
import * as protocol from "@citronlead/protocol";
import * as http from "node:http";

/**
 * The call between routers in the unary form of the Connect protocol: the message in binary as the body of a POST, the
 * answer likewise. It is written over Node's http since that costs a third of the library's processor time; docs/design/
 * inner-protocol.md has the measurement. A client of connect-es can call the port.
 */
const PATH = `/${protocol.PeerService.typeName}/Deliver`;
const CONTENT_TYPE = "application/proto";
/** The longest message that is read, in bytes: a part of the configuration of a megabyte, with room to spare. */
const MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024;

/** A batch to be delivered. */
export type DeliverInit = protobuf.MessageInitShape<typeof protocol.DeliverRequestSchema>;
/** The answer to a batch. */
export type AnswerInit = protobuf.MessageInitShape<typeof protocol.DeliverResponseSchema>;

/** Delivers a batch. Rejects when no whole answer has come by the timeout, in milliseconds; it may have arrived then. */
export function deliver(
    agent: http.Agent,
    address: string,
    batch: DeliverInit,
    timeoutMs: decision.Milliseconds,
): Promise<protocol.DeliverResponse> {
    const schema = protocol.DeliverRequestSchema;
    const payload = protobuf.toBinary(schema, protobuf.create(schema, batch));
    return new Promise((resolve, reject) => {
        const call = http.request(address + PATH, {
            method: "POST",
            agent,
            headers: { "content-type": CONTENT_TYPE, "content-length": payload.length },
        });
        const timer = setTimeout(() => call.destroy(new Error("timeout")), timeoutMs);
        call.on("close", () => clearTimeout(timer));
        call.on("error", reject);
        call.on("response", (response) => {
            readMessage(response).then((body) => {
                if (response.statusCode !== 200) {
                    throw new Error(`status ${response.statusCode}`);
                }
                resolve(protobuf.fromBinary(protocol.DeliverResponseSchema, body));
            }).catch(reject);
        });
        call.end(payload);
    });
}

/** Makes the handler of the peer port. */
export function makeHandler(take: (request: protocol.DeliverRequest) => AnswerInit): http.RequestListener {
    return (request, response) => {
        if (request.method !== "POST" || request.url !== PATH || request.headers["content-type"] !== CONTENT_TYPE) {
            refuse(response, 404);
            request.resume();
            return;
        }
        void answer(request, response, take);
    };
}

/** Answers one call. A batch that can't be read is refused; a broken invariant while it is taken in stops the process. */
async function answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    take: (request: protocol.DeliverRequest) => AnswerInit,
): Promise<void> {
    const batch = await readBatch(request);
    if (!batch) {
        refuse(response, 400);
        return;
    }
    const schema = protocol.DeliverResponseSchema;
    const payload = protobuf.toBinary(schema, protobuf.create(schema, take(batch)));
    response.writeHead(200, { "content-type": CONTENT_TYPE, "content-length": payload.length });
    response.end(payload);
}

async function readBatch(request: http.IncomingMessage): Promise<protocol.DeliverRequest | undefined> {
    try {
        return protobuf.fromBinary(protocol.DeliverRequestSchema, await readMessage(request));
    }
    catch {
        return undefined;
    }
}

function refuse(response: http.ServerResponse, status: number): void {
    response.writeHead(status, { "content-length": 0 });
    response.end();
}

async function readMessage(message: http.IncomingMessage): Promise<Buffer> {
    const pieces: Buffer[] = [];
    let length = 0;
    for await (const piece of message) {
        length += (piece as Buffer).length;
        if (length > MESSAGE_LIMIT_BYTES) {
            throw new Error("message too long");
        }
        pieces.push(piece as Buffer);
    }
    return Buffer.concat(pieces);
}
