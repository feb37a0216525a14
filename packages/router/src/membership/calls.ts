import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as platform from "@citronlead/platform";
import type * as contexts from "../context.js";

type LeaseAction = Extract<
    membership.MemberAction,
    { kind: membership.ActionKind.GrantLease | membership.ActionKind.RenewLease; }
>;
type SwapAction = Extract<membership.MemberAction, { kind: membership.ActionKind.ConditionalWrite; }>;

/** Grants or renews the lease of this host. Returns the event with the result. */
export async function grantOrRenewLease(
    context: contexts.Context,
    action: LeaseAction,
): Promise<membership.MemberEvent> {
    const { call } = action;
    const outcome = action.kind === membership.ActionKind.GrantLease
        ? await context.keyValue.grantLease(action.timeToLiveMs / decision.SECOND_MS)
        : await context.keyValue.renewLease(action.lease);
    const { LeaseAnswered: kind } = membership.EventKind;
    if (outcome.effect !== decision.Effect.Known) {
        return { kind, call };
    }
    const timeToLiveMs = outcome.value.timeToLiveSeconds * decision.SECOND_MS;
    return { kind, call, lease: { id: outcome.value.id, timeToLiveMs } };
}

/** Writes membership records by compare-and-swap. Returns the event with the result. */
export async function executeSwap(context: contexts.Context, action: SwapAction): Promise<membership.MemberEvent> {
    const { call, comparisons } = action;
    const changes = action.writes.map(({ key, value, lease }): platform.Change =>
        value === undefined
            ? { kind: platform.ChangeKind.Delete, key }
            : { kind: platform.ChangeKind.Put, key, value, lease }
    );
    const outcome = await context.keyValue.swap(comparisons, changes);
    const succeeded = outcome.effect === decision.Effect.Known ? outcome.value.succeeded : undefined;
    const { purpose } = action;
    const routine = purpose === membership.WritePurpose.ChangeSuccessors
        || purpose === membership.WritePurpose.AttachLease;
    if (succeeded && !routine) {
        context.log.info({ purpose, keys: action.writes.map((write) => write.key) }, "membership records written");
    }
    else {
        context.log.debug({ purpose, succeeded }, "membership write finished");
    }
    return { kind: membership.EventKind.WriteAnswered, call, succeeded };
}
