import * as admission from "@citronlead/admission";
import * as protocol from "@citronlead/protocol";
import type * as peers from "./peers.js";

const { ChargeStatus: WireStatus } = protocol;

const WIRE_STATUS: Readonly<Record<admission.ChargeStatus, protocol.ChargeStatus>> = {
    [admission.ChargeStatus.Granted]: WireStatus.GRANTED,
    [admission.ChargeStatus.Refused]: WireStatus.REFUSED,
    [admission.ChargeStatus.Waiting]: WireStatus.WAITING,
    [admission.ChargeStatus.NotOwner]: WireStatus.NOT_OWNER,
};

/** Makes the body of a peer message. */
export function encodeMessage(message: admission.Message): peers.PeerBody {
    const { kind, ...fields } = message;
    const value = message.kind === admission.MessageKind.ChargeReply
        ? { ...fields, status: WIRE_STATUS[message.status] }
        : fields;
    // The kinds and the fields of the module's messages have the names of the protocol's.
    return { case: "admission", value: { body: { case: kind, value } } } as peers.PeerBody;
}

/** Reads a peer message. Returns undefined for one that this version does not know. */
export function decodeMessage(message: protocol.AdmissionMessage): admission.Message | undefined {
    const { body } = message;
    switch (body.case) {
        case undefined:
            return undefined;
        case "chargeReply": {
            const status = readStatus(body.value.status);
            return status && { ...body.value, kind: admission.MessageKind.ChargeReply, status };
        }
        default:
            return { ...body.value, kind: body.case as admission.MessageKind } as admission.Message;
    }
}

function readStatus(wire: protocol.ChargeStatus): admission.ChargeStatus | undefined {
    return Object.values(admission.ChargeStatus).find((status) => WIRE_STATUS[status] === wire);
}
