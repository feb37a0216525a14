import * as decision from "@citronlead/decision";
import * as zod from "zod";
import * as jsonCall from "./http.js";
import * as keyvalue from "./keyvalue.js";

/** What the weight store reports about one model version. */
export interface WeightMetadata {
    readonly model: string;
    readonly version: string;
    readonly sizeBytes: number;
    /** The store's transfer rate, shared by all readers. */
    readonly rateBytesPerSecond: number;
}

const metadataSchema = zod.object({
    model: zod.string(),
    version: zod.string(),
    sizeBytes: zod.number().nonnegative(),
    rateBytesPerSecond: zod.number().positive(),
});

/**
 * Asks the weight store for the size of a model version and the store's transfer rate. The value is undefined if the
 * response is not usable.
 */
export async function readWeightMetadata(
    address: string,
    model: string,
    version: string,
    timeoutMs: decision.Milliseconds,
): Promise<decision.Outcome<WeightMetadata | undefined>> {
    const url = `${address}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return keyvalue.mapOutcome(await jsonCall.callJson({ url, timeoutMs }), (response) => {
        const parsed = metadataSchema.safeParse(response.body);
        return response.status === 200 && parsed.success ? parsed.data : undefined;
    });
}
