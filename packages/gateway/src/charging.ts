import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as exchanges from "./exchange.js";

/** Part of the operators' tolerance that is granted; the rest covers hosts that lose sight of each other. */
const TOLERANCE_SHARE = 0.5;

/** Charges the request to its workspace. Refuses it and returns false if the workspace is over its limit. */
export async function charge(exchange: exchanges.Exchange): Promise<boolean> {
    const { context, workspace, facts } = exchange;
    if (!workspace || workspace.ratePerSecond <= 0) {
        return true;
    }
    const cost = costOf(exchange, workspace);
    const limit = limitOf(exchange, workspace);
    const { answer, decidedBy } = await context.peers.charge(workspace.name, limit, cost);
    if (answer.grant === dispatch.QuotaGrant.Within) {
        return true;
    }
    context.log.decision("over quota", {
        requestId: facts.requestId,
        workspace: workspace.name,
        cost,
        ...limit,
        decidedBy,
        ...answer,
    });
    if (answer.grant === dispatch.QuotaGrant.Beyond) {
        exchange.spare = { cost, waitMs: answer.waitMs };
        return true;
    }
    refuse(exchange, answer.waitMs);
    return false;
}

/** Refuses a request beyond its workspace's limit for which nothing is spare, and gives its charge back. */
export function refuseSpare(exchange: exchanges.Exchange): void {
    const { context, spare, workspace } = exchange;
    if (spare && workspace) {
        context.peers.refund(workspace.name, spare.cost);
        refuse(exchange, spare.waitMs);
    }
}

function refuse(exchange: exchanges.Exchange, waitMs: number): void {
    exchange.refuse({
        status: 429,
        reason: exchanges.FinalReason.OverQuota,
        retryAfterMs: waitMs * (1 + exchange.context.random()),
    });
}

function costOf({ facts }: exchanges.Exchange, workspace: routing.Workspace): number {
    const tokens = facts.promptTokens + facts.outputTokens;
    return workspace.unit === routing.RateUnit.Requests ? 1 : tokens > 0 ? tokens : workspace.plainCost;
}

function limitOf({ context }: exchanges.Exchange, { ratePerSecond, burst }: routing.Workspace): dispatch.QuotaLimit {
    const { quotaTolerance, quotaWindowMs } = context.settings;
    const limit = ratePerSecond * quotaWindowMs / 1_000 + burst;
    const tolerance = TOLERANCE_SHARE * (limit * quotaTolerance.share + quotaTolerance.units);
    return { ratePerSecond, burst, tolerance };
}
