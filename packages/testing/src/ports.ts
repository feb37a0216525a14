const PORT_BASE_VARIABLE = "CITRONLEAD_PORT_BASE";
const DEFAULT_PORT_BASE = 17_000;

/** The first port of a test's fleet. Tests take offsets that are at least 100 apart. */
export function testPortBase(offset: number): number {
    return Number(process.env[PORT_BASE_VARIABLE] ?? DEFAULT_PORT_BASE) + offset;
}
