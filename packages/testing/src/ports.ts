const PORT_BASE_VARIABLE = "CITRONLEAD_PORT_BASE";
const DEFAULT_PORT_BASE = 17_000;

/** Returns the first port of a test's processes. Tests use offsets at least 100 apart to keep their ports separate. */
export function testPortBase(offset: number): number {
    return Number(process.env[PORT_BASE_VARIABLE] ?? DEFAULT_PORT_BASE) + offset;
}
