import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import type * as partitions from "./partition.js";
import * as slices from "./slice.js";

/** The new state of a partition, and the actions of the change. */
export interface HandOverStep {
    readonly state: partitions.PartitionState;
    readonly actions: readonly actions.Action[];
}

/**
 * Empties the queues of a partition that this owner no longer serves. Senders of waiting charges get a not-owner reply.
 */
export function declineWaitingCharges(state: partitions.PartitionState): HandOverStep {
    const waiting = [...state.slices.values()].filter((slice) => slice.queue.length > 0);
    if (waiting.length === 0) {
        return { state, actions: [] };
    }
    const emptied = new Map(state.slices);
    waiting.forEach((slice) => emptied.set(slice.workspace, { ...slice, queue: [], wakeAt: undefined }));
    return { state: { ...state, slices: emptied }, actions: waiting.flatMap(notOwnerReplies) };
}

function notOwnerReplies(slice: slices.SliceState): readonly actions.Action[] {
    return slice.queue
        .filter((entry) => entry.kind === slices.QueueEntryKind.Charge)
        .map((entry): actions.Action => ({
            kind: actions.ActionKind.Send,
            to: entry.replyTo,
            message: {
                kind: messages.MessageKind.ChargeReply,
                chargeId: entry.id,
                workspace: slice.workspace,
                slice: slice.index,
                status: messages.ChargeStatus.NotOwner,
                tokens: 0,
                retryAfterMs: 0,
            },
        }));
}

/** Stops serving a partition that is handed over to another host. */
export function startHandOver(state: partitions.PartitionState, nextHost: string): HandOverStep {
    const declined = declineWaitingCharges(state);
    return { ...declined, state: { ...declined.state, handingOver: true, nextHost, querySiblingsAt: undefined } };
}

/** When the last loan of a partition expires; 0 if it has none. */
export function loansExpireAt(state: partitions.PartitionState): decision.Milliseconds {
    const loans = [...state.slices.values()].flatMap((slice) => slice.bucket.loans);
    return Math.max(0, ...loans.map((loan) => loan.expiresAt));
}

/** Sends the exact levels to the next owner. Only a term that became active has levels to hand over. */
export function sendLevels(state: partitions.PartitionState, now: decision.Milliseconds): readonly actions.Action[] {
    if (!state.active || state.nextHost === undefined) {
        return [];
    }
    const levels = [...state.slices.values()].map((slice) => ({
        workspace: slice.workspace,
        tokens: buckets.refill(slice.bucket, now).level,
    }));
    return [{
        kind: actions.ActionKind.Send,
        to: { host: state.nextHost },
        message: {
            kind: messages.MessageKind.SliceHandOver,
            partition: state.partition,
            fencing: state.fencing,
            revision: state.revisions.at(-1) ?? 0,
            levels,
        },
    }];
}
