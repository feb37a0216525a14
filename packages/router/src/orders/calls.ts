import * as decision from "@citronlead/decision";
import * as orders from "@citronlead/orders";
import * as platform from "@citronlead/platform";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";

/** The action that sends an order to an engine. */
export type SendOrderAction = Extract<orders.RolloutAction, { kind: orders.ActionKind.SendOrder; }>;

type ReadWeightsAction = Extract<orders.RolloutAction, { kind: orders.ActionKind.ReadWeights; }>;

/** Whether an engine has decode slots. */
export function isDecodeEngine(load: upstream.LoadReport): boolean {
    return load.role === upstream.EngineRole.Decode;
}

/** Asks the weight store about a model version. Returns undefined if no store is configured or it does not answer. */
export async function readWeights(
    context: contexts.Context,
    action: ReadWeightsAction,
): Promise<orders.RolloutEvent | undefined> {
    const { weightStore, timeout } = context.settings.platform;
    const { model, version } = action;
    if (weightStore === undefined) {
        return undefined;
    }
    const outcome = await platform.readWeightMetadata(weightStore, model, version, timeout);
    const weights = outcome.effect === decision.Effect.Known ? outcome.value : undefined;
    return weights && { kind: orders.EventKind.WeightsRead, model, version, weights };
}

/** Sends an order to an engine. Returns the event with the result. */
export async function sendOrder(
    context: contexts.Context,
    target: upstreams.KnownUpstream,
    action: SendOrderAction,
): Promise<orders.RolloutEvent> {
    const { model, version, fencing, orderId, timeoutMs } = action;
    const outcome = await upstream.sendOrder(
        { address: target.address, agent: context.agent, timeoutMs },
        { kind: upstream.OrderKind.LoadVersion, model, version, fencing, orderId },
    );
    context.metrics.upstreamCalls.inc({ call: "order", result: outcome.result });
    return { kind: orders.EventKind.OrderAnswered, orderId, result: toResult(outcome) };
}

function toResult(outcome: upstream.CallOutcome<unknown>): orders.OrderResult {
    switch (outcome.result) {
        case upstream.CallResult.Done:
            return orders.OrderResult.Taken;
        case upstream.CallResult.Refused:
            return outcome.refusal === upstream.UpstreamRefusal.StaleFencing
                ? orders.OrderResult.Stale
                : orders.OrderResult.Refused;
        case upstream.CallResult.Unreachable:
        case upstream.CallResult.Broken:
            return orders.OrderResult.Unknown;
    }
}
