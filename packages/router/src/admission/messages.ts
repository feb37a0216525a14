import * as admission from "@citronlead/admission";
import * as protocol from "@citronlead/protocol";
import type * as peers from "../peers/transport.js";

const { ChargeStatus: WireStatus } = protocol;

const PROTOCOL_STATUS: Readonly<Record<admission.ChargeStatus, protocol.ChargeStatus>> = {
    [admission.ChargeStatus.Granted]: WireStatus.GRANTED,
    [admission.ChargeStatus.Refused]: WireStatus.REFUSED,
    [admission.ChargeStatus.Waiting]: WireStatus.WAITING,
    [admission.ChargeStatus.NotOwner]: WireStatus.NOT_OWNER,
};

/** Encodes an admission message as the body of a peer message. */
export function encodeMessage(message: admission.Message): peers.PeerBody {
    const { kind, ...fields } = message;
    const value = message.kind === admission.MessageKind.ChargeReply
        ? { ...fields, status: PROTOCOL_STATUS[message.status] }
        : fields;
    // Message kinds and fields have the same names in the admission module and in the protocol.
    return { case: "admission", value: { body: { case: kind, value } } } as peers.PeerBody;
}

/** Decodes a peer message. Returns undefined for a kind or a status that this version does not know. */
export function decodeMessage(message: protocol.AdmissionMessage): admission.Message | undefined {
    const { body } = message;
    switch (body.case) {
        case undefined:
            return undefined;
        case "chargeReply": {
            const status = decodeStatus(body.value.status);
            return status && { ...body.value, kind: admission.MessageKind.ChargeReply, status };
        }
        default:
            return { ...body.value, kind: body.case as admission.MessageKind } as admission.Message;
    }
}

function decodeStatus(wire: protocol.ChargeStatus): admission.ChargeStatus | undefined {
    return Object.values(admission.ChargeStatus).find((status) => PROTOCOL_STATUS[status] === wire);
}
