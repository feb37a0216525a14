import * as decision from "@citronlead/decision";
import * as zod from "zod";
import * as jsonCall from "./http.js";
import * as keyvalue from "./keyvalue.js";

/** What the weight store says of one model version. */
export interface WeightNotice {
    readonly model: string;
    readonly version: string;
    readonly sizeBytes: number;
    /** The store's rate for all readers together, in bytes a second. */
    readonly rateBytesPerSecond: number;
}

const noticeSchema = zod.object({
    model: zod.string(),
    version: zod.string(),
    sizeBytes: zod.number().nonnegative(),
    rateBytesPerSecond: zod.number().positive(),
});

/** Asks the weight store for the size of a model version and for its rate. */
export async function readWeights(
    address: string,
    model: string,
    version: string,
    timeoutMs: decision.Milliseconds,
): Promise<decision.Outcome<WeightNotice | undefined>> {
    const url = `${address}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return keyvalue.map(await jsonCall.callJson({ url, timeoutMs }), (answer) => {
        const parsed = noticeSchema.safeParse(answer.body);
        return answer.status === 200 && parsed.success ? parsed.data : undefined;
    });
}
