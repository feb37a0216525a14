import * as membership from "@citronlead/membership";
import type * as protocol from "@citronlead/protocol";
import type * as peers from "./peers.js";

const REFUSALS = new Set<string>(Object.values(membership.Refusal));

/** Puts a message of the decisions into the form in which it travels. */
export function toPeerBody(message: membership.MemberMessage): peers.PeerBody {
    return { case: "membership", value: { body: toWire(message) } };
}

function toWire(message: membership.MemberMessage): MembershipBody {
    const { kind, incarnation } = message;
    switch (kind) {
        case membership.MessageKind.Request: {
            const { number: requestNumber, version: recordVersion } = message;
            return { case: "successorLeaseRequest", value: { requestNumber, incarnation, recordVersion } };
        }
        case membership.MessageKind.Grant: {
            const { number: requestNumber, durationMs } = message;
            return { case: "successorLeaseGrant", value: { requestNumber, incarnation, durationMs } };
        }
        case membership.MessageKind.Refusal: {
            const { number: requestNumber, reason } = message;
            return { case: "successorLeaseRefusal", value: { requestNumber, incarnation, reason } };
        }
        case membership.MessageKind.ConsentRequest: {
            const { target, version: recordVersion } = message;
            return { case: "takeoverConsentRequest", value: { incarnation, target, recordVersion } };
        }
        case membership.MessageKind.Consent: {
            const { target, version: recordVersion } = message;
            return { case: "takeoverConsent", value: { incarnation, target, recordVersion } };
        }
    }
}

type MembershipBody = Extract<peers.PeerBody, { case: "membership"; }>["value"]["body"];

/** Reads a message as it travelled; undefined if it makes no sense. */
export function readPeerMessage(message: protocol.PeerMessage): membership.MemberMessage | undefined {
    const body = message.body.case === "membership" ? message.body.value.body : undefined;
    switch (body?.case) {
        case "successorLeaseRequest": {
            const { requestNumber: number, incarnation, recordVersion: version } = body.value;
            return { kind: membership.MessageKind.Request, number, incarnation, version };
        }
        case "successorLeaseGrant": {
            const { requestNumber: number, incarnation, durationMs } = body.value;
            return { kind: membership.MessageKind.Grant, number, incarnation, durationMs };
        }
        case "successorLeaseRefusal": {
            const { requestNumber: number, incarnation } = body.value;
            const reason = REFUSALS.has(body.value.reason)
                ? body.value.reason as membership.Refusal
                : membership.Refusal.NoRight;
            return { kind: membership.MessageKind.Refusal, number, incarnation, reason };
        }
        case "takeoverConsentRequest": {
            const { incarnation, target, recordVersion: version } = body.value;
            return { kind: membership.MessageKind.ConsentRequest, incarnation, target, version };
        }
        case "takeoverConsent": {
            const { incarnation, target, recordVersion: version } = body.value;
            return { kind: membership.MessageKind.Consent, incarnation, target, version };
        }
        default:
            return undefined;
    }
}
