import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import type * as partitions from "./partition.js";
import * as slices from "./slice.js";

/** A partition that is about to be handed over. */
export interface Leaving {
    readonly state: partitions.PartitionState;
    readonly actions: readonly actions.Action[];
}

/** Sends everyone who waits in the queues of a partition elsewhere; this owner serves them no more. */
export function surrender(state: partitions.PartitionState): Leaving {
    const waiting = [...state.slices.values()].filter((slice) => slice.queue.length > 0);
    if (waiting.length === 0) {
        return { state, actions: [] };
    }
    const emptied = new Map(state.slices);
    waiting.forEach((slice) => emptied.set(slice.workspace, { ...slice, queue: [], wakeAt: undefined }));
    return { state: { ...state, slices: emptied }, actions: waiting.flatMap(declineQueue) };
}

function declineQueue(slice: slices.SliceState): readonly actions.Action[] {
    return slice.queue
        .filter((entry) => entry.kind === slices.WaitingKind.Charge)
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

/** Stops serving a partition that goes to another host. */
export function startLeaving(state: partitions.PartitionState, nextHost: string): Leaving {
    const left = surrender(state);
    return { ...left, state: { ...left.state, leaving: true, nextHost, askSiblingsAt: undefined } };
}

/** When the last tokens that were lent from a partition can surely be spent no more. */
export function heldUntil(state: partitions.PartitionState): decision.Milliseconds {
    const rooms = [...state.slices.values()].flatMap((slice) => slice.bucket.held);
    return Math.max(0, ...rooms.map((room) => room.until));
}

/** Sends the exact levels to the next owner. Without a term that was active there is nothing to hand over. */
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
