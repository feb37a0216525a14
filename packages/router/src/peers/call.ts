import * as protobuf from "@bufbuild/protobuf";
import type * as decision from "@citronlead/decision";
import * as protocol from "@citronlead/protocol";
import * as http from "node:http";

/**
 * A unary call of the Connect protocol: a POST with a binary message as its body, answered by a binary message. It uses
 * Node's http module directly because that takes a third of the CPU time of connect-es; the measurement is in
 * docs/design/inner-protocol.md. Clients made with connect-es can call the port.
 */
const DELIVER_PATH = `/${protocol.PeerService.typeName}/Deliver`;
const CONTENT_TYPE = "application/proto";
/** The largest expected message carries a one-megabyte part of the configuration; the limit leaves ample headroom. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** A batch of messages to deliver. */
export type DeliverRequestInit = protobuf.MessageInitShape<typeof protocol.DeliverRequestSchema>;
/** The response to a batch. */
export type DeliverResponseInit = protobuf.MessageInitShape<typeof protocol.DeliverResponseSchema>;

/** Delivers a batch. Rejects if no complete response arrives within the timeout; the batch may still have arrived. */
export function deliver(
    agent: http.Agent,
    address: string,
    batch: DeliverRequestInit,
    timeoutMs: decision.Milliseconds,
): Promise<protocol.DeliverResponse> {
    const schema = protocol.DeliverRequestSchema;
    const payload = protobuf.toBinary(schema, protobuf.create(schema, batch));
    return new Promise((resolve, reject) => {
        const call = http.request(address + DELIVER_PATH, {
            method: "POST",
            agent,
            headers: { "content-type": CONTENT_TYPE, "content-length": payload.length },
        });
        const timer = setTimeout(() => call.destroy(new Error("peer call timed out")), timeoutMs);
        call.on("close", () => clearTimeout(timer));
        call.on("error", reject);
        call.on("response", (response) => {
            readBody(response).then((body) => {
                if (response.statusCode !== 200) {
                    throw new Error(`peer responded with status ${response.statusCode}`);
                }
                resolve(protobuf.fromBinary(protocol.DeliverResponseSchema, body));
            }).catch(reject);
        });
        call.end(payload);
    });
}

/** Makes the request listener of the peer port. Responds 404 to anything but a Deliver call. */
export function makeDeliverHandler(
    handleBatch: (request: protocol.DeliverRequest) => DeliverResponseInit,
): http.RequestListener {
    return (request, response) => {
        if (
            request.method !== "POST" || request.url !== DELIVER_PATH
            || request.headers["content-type"] !== CONTENT_TYPE
        ) {
            sendStatus(response, 404);
            request.resume();
            return;
        }
        void handleDeliver(request, response, handleBatch);
    };
}

/**
 * Handles one Deliver call. Responds 400 to a batch that can't be parsed; an exception from `handleBatch` is left
 * unhandled, so that a violated invariant stops the process.
 */
async function handleDeliver(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    handleBatch: (request: protocol.DeliverRequest) => DeliverResponseInit,
): Promise<void> {
    const batch = await readBatch(request);
    if (!batch) {
        sendStatus(response, 400);
        return;
    }
    const schema = protocol.DeliverResponseSchema;
    const payload = protobuf.toBinary(schema, protobuf.create(schema, handleBatch(batch)));
    response.writeHead(200, { "content-type": CONTENT_TYPE, "content-length": payload.length });
    response.end(payload);
}

async function readBatch(request: http.IncomingMessage): Promise<protocol.DeliverRequest | undefined> {
    try {
        return protobuf.fromBinary(protocol.DeliverRequestSchema, await readBody(request));
    }
    catch {
        return undefined;
    }
}

function sendStatus(response: http.ServerResponse, status: number): void {
    response.writeHead(status, { "content-length": 0 });
    response.end();
}

async function readBody(message: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of message) {
        length += (chunk as Buffer).length;
        if (length > MAX_MESSAGE_BYTES) {
            throw new Error("message exceeds the size limit");
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}
