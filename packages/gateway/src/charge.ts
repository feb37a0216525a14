import * as routing from "@citronlead/routing";
import * as exchanges from "./exchange.js";
import * as messages from "./messages.js";

/**
 * Charges a request to its workspace under the limit of the given configuration version. Refuses the request and
 * returns false if the workspace is over its limit.
 */
export async function chargeWorkspace(exchange: exchanges.Exchange, version: number): Promise<boolean> {
    const { context, metadata, workspace } = exchange;
    if (!workspace || workspace.ratePerSecond <= 0) {
        return true;
    }
    const tokens = metadata.promptTokens + metadata.maxOutputTokens;
    const cost = workspace.unit === routing.RateUnit.Requests ? 1 : tokens > 0 ? tokens : workspace.defaultCostTokens;
    const limit = { ratePerSecond: workspace.ratePerSecond, burst: workspace.burst, version };
    const { quotaDecision, decidedBy, refund } = await context.peers.charge(
        messages.Ledger.Workspaces,
        workspace.name,
        limit,
        cost,
    );
    if (quotaDecision.granted) {
        exchange.onEndedUnsent(refund);
        return true;
    }
    context.log.decision("over quota", {
        requestId: metadata.requestId,
        workspace: workspace.name,
        cost,
        ratePerSecond: limit.ratePerSecond,
        version,
        decidedBy,
        waitMs: Math.round(quotaDecision.waitMs),
    });
    exchange.refuse({
        status: 429,
        reason: exchanges.FinalReason.OverQuota,
        retryAfterMs: quotaDecision.waitMs * (1 + context.random()),
    });
    return false;
}
