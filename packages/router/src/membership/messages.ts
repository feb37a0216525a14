import * as membership from "@citronlead/membership";
import type * as protocol from "@citronlead/protocol";
import type * as peers from "../peers/transport.js";

const REFUSAL_REASONS = new Set<string>(Object.values(membership.RefusalReason));

/** Encodes a membership message as the body of a peer message. */
export function encodeMessage(message: membership.MemberMessage): peers.PeerBody {
    return { case: "membership", value: { body: toProtocolBody(message) } };
}

function toProtocolBody(message: membership.MemberMessage): MembershipBody {
    const { kind, incarnation } = message;
    switch (kind) {
        case membership.MessageKind.SuccessorLeaseRequest: {
            const { number: requestNumber, version: recordVersion } = message;
            return { case: "successorLeaseRequest", value: { requestNumber, incarnation, recordVersion } };
        }
        case membership.MessageKind.SuccessorLeaseGrant: {
            const { number: requestNumber, durationMs } = message;
            return { case: "successorLeaseGrant", value: { requestNumber, incarnation, durationMs } };
        }
        case membership.MessageKind.SuccessorLeaseRefusal: {
            const { number: requestNumber, reason } = message;
            return { case: "successorLeaseRefusal", value: { requestNumber, incarnation, reason } };
        }
        case membership.MessageKind.TakeoverConsentRequest: {
            const { target, version: recordVersion } = message;
            return { case: "takeoverConsentRequest", value: { incarnation, target, recordVersion } };
        }
        case membership.MessageKind.TakeoverConsent: {
            const { target, version: recordVersion } = message;
            return { case: "takeoverConsent", value: { incarnation, target, recordVersion } };
        }
    }
}

type MembershipBody = Extract<peers.PeerBody, { case: "membership"; }>["value"]["body"];

/** Decodes a peer message; undefined if it is no membership message that this version knows. */
export function decodeMessage(message: protocol.PeerMessage): membership.MemberMessage | undefined {
    const body = message.body.case === "membership" ? message.body.value.body : undefined;
    switch (body?.case) {
        case "successorLeaseRequest": {
            const { requestNumber: number, incarnation, recordVersion: version } = body.value;
            return { kind: membership.MessageKind.SuccessorLeaseRequest, number, incarnation, version };
        }
        case "successorLeaseGrant": {
            const { requestNumber: number, incarnation, durationMs } = body.value;
            return { kind: membership.MessageKind.SuccessorLeaseGrant, number, incarnation, durationMs };
        }
        case "successorLeaseRefusal": {
            const { requestNumber: number, incarnation } = body.value;
            const reason = REFUSAL_REASONS.has(body.value.reason)
                ? body.value.reason as membership.RefusalReason
                : membership.RefusalReason.NoRight;
            return { kind: membership.MessageKind.SuccessorLeaseRefusal, number, incarnation, reason };
        }
        case "takeoverConsentRequest": {
            const { incarnation, target, recordVersion: version } = body.value;
            return { kind: membership.MessageKind.TakeoverConsentRequest, incarnation, target, version };
        }
        case "takeoverConsent": {
            const { incarnation, target, recordVersion: version } = body.value;
            return { kind: membership.MessageKind.TakeoverConsent, incarnation, target, version };
        }
        default:
            return undefined;
    }
}
