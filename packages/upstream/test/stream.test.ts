import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as http from "node:http";
import * as net from "node:net";
import * as contract from "../src/contract.js";
import * as stream from "../src/stream.js";

const ATTEMPT = { requestId: "r", attempt: 0, holder: "h", offset: 0, priority: 0 };

/** Serves the texts as the chunks of an engine's stream and reads it. */
async function readStream(
    texts: readonly string[],
    options: Partial<stream.StreamOptions> & { readonly outputTokens?: number; readonly keepOpen?: boolean; },
): Promise<{ readonly end: stream.StreamEnd; readonly events: readonly contract.StreamEvent[]; }> {
    const server = http.createServer((_request, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        texts.forEach((text) => response.write(text));
        if (options.keepOpen !== true) {
            response.end();
        }
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const events: contract.StreamEvent[] = [];
    const address = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const { end } = await stream.decode(
        { address, timeoutMs: 5_000 },
        { ...ATTEMPT, outputTokens: options.outputTokens ?? 100 },
        {
            idleTimeoutMs: options.idleTimeoutMs ?? 5_000,
            onEvent: async (event) => {
                events.push(event);
                await options.onEvent?.(event);
                return event.kind === contract.StreamEventKind.End ? stream.Continue.No : stream.Continue.Yes;
            },
        },
    );
    server.closeAllConnections();
    server.close();
    return { end, events };
}

function token(index: number, text = "word"): string {
    return `event: token\ndata: ${JSON.stringify({ index, text })}\n\n`;
}

const END = `event: end\ndata: ${JSON.stringify({ outputTokens: 2, reason: "length" })}\n\n`;

describe("An engine's token stream", () => {
    it("is read up to its end event", async () => {
        const { end, events } = await readStream([token(0) + token(1), END], {});
        chai.expect(end).to.equal(stream.StreamEnd.Stopped);
        chai.expect(events).to.have.length(3);
    });

    it("counts as cut when it ends early or is idle for too long", async () => {
        chai.expect((await readStream([token(0)], {})).end).to.equal(stream.StreamEnd.Cut);
        const idle = await readStream([token(0)], { keepOpen: true, idleTimeoutMs: 100 });
        chai.expect(idle.end).to.equal(stream.StreamEnd.Cut);
    });

    it("does not count as idle while its reader delays it", async () => {
        const take = async () => {
            await new Promise((resolve) => setTimeout(resolve, 300));
            return stream.Continue.Yes;
        };
        const { end, events } = await readStream([token(0), END], { idleTimeoutMs: 100, onEvent: take });
        chai.expect(end).to.equal(stream.StreamEnd.Stopped);
        chai.expect(events).to.have.length(2);
    });

    it("is invalid with malformed or too long events, or with more tokens than requested", async () => {
        const invalidStreams = [
            ["event: token\ndata: {broken\n\n"],
            ["event: unknown\ndata: {}\n\n"],
            [`data: ${"x".repeat(100 * 1024)}`],
            [token(0, "x".repeat(70 * 1024))],
        ];
        for (const texts of invalidStreams) {
            chai.expect((await readStream(texts, { keepOpen: true })).end).to.equal(stream.StreamEnd.Invalid);
        }
        const excessive = await readStream([token(0), token(1), token(2)], { outputTokens: 2, keepOpen: true });
        chai.expect(excessive.end).to.equal(stream.StreamEnd.Invalid);
        chai.expect(excessive.events).to.have.length(2);
    });

    it("yields only well-formed events, whatever text arrives", async () => {
        const line = fastCheck.oneof(
            fastCheck.string(),
            fastCheck.constantFrom("event: token", "event: end", "", ":", 'data: {"index":0,"text":"t"}', "data: null"),
        );
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(line, { maxLength: 12 }), async (lines) => {
                const { end, events } = await readStream([lines.join("\n")], {});
                chai.expect(Object.values(stream.StreamEnd)).to.include(end);
                events.forEach((event) => chai.expect(Object.values(contract.StreamEventKind)).to.include(event.kind));
            }),
            { numRuns: 60 },
        );
    });
});
