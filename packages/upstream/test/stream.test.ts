import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as http from "node:http";
import * as net from "node:net";
import * as contract from "../src/contract.js";
import * as stream from "../src/stream.js";

const ATTEMPT = { requestId: "r", attempt: 0, holder: "h", offset: 0, priority: 0 };

/** Serves the text as an engine's stream, piece by piece, and reads it. */
async function readStream(
    texts: readonly string[],
    options: Partial<stream.StreamOptions> & { readonly outputTokens?: number; readonly staysOpen?: boolean; },
): Promise<{ readonly end: stream.StreamEnd; readonly pieces: readonly contract.Piece[]; }> {
    const server = http.createServer((_request, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        texts.forEach((text) => response.write(text));
        if (options.staysOpen !== true) {
            response.end();
        }
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const pieces: contract.Piece[] = [];
    const address = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const { end } = await stream.decode(
        { address, timeoutMs: 5_000 },
        { ...ATTEMPT, outputTokens: options.outputTokens ?? 100 },
        {
            silenceMs: options.silenceMs ?? 5_000,
            take: async (piece) => {
                pieces.push(piece);
                await options.take?.(piece);
                return piece.kind === contract.PieceKind.End ? stream.Continue.No : stream.Continue.Yes;
            },
        },
    );
    server.closeAllConnections();
    server.close();
    return { end, pieces };
}

function token(index: number, text = "word"): string {
    return `event: token\ndata: ${JSON.stringify({ index, text })}\n\n`;
}

const END = `event: end\ndata: ${JSON.stringify({ outputTokens: 2, reason: "length" })}\n\n`;

describe("the stream of an engine", () => {
    it("is read to its end", async () => {
        const { end, pieces } = await readStream([token(0) + token(1), END], {});
        chai.expect(end).to.equal(stream.StreamEnd.Stopped);
        chai.expect(pieces).to.have.length(3);
    });

    it("is cut when it ends early, and when it is silent", async () => {
        chai.expect((await readStream([token(0)], {})).end).to.equal(stream.StreamEnd.Cut);
        const silent = await readStream([token(0)], { staysOpen: true, silenceMs: 100 });
        chai.expect(silent.end).to.equal(stream.StreamEnd.Cut);
    });

    it("is not taken for silent while its reader holds it back", async () => {
        const take = async () => {
            await new Promise((resolve) => setTimeout(resolve, 300));
            return stream.Continue.Yes;
        };
        const { end, pieces } = await readStream([token(0), END], { silenceMs: 100, take });
        chai.expect(end).to.equal(stream.StreamEnd.Stopped);
        chai.expect(pieces).to.have.length(2);
    });

    it("is garbage when it has no events, too long ones, or more tokens than were asked for", async () => {
        const garbage = [
            ["event: token\ndata: {broken\n\n"],
            ["event: unknown\ndata: {}\n\n"],
            [`data: ${"x".repeat(100 * 1024)}`],
            [token(0, "x".repeat(70 * 1024))],
        ];
        for (const texts of garbage) {
            chai.expect((await readStream(texts, { staysOpen: true })).end).to.equal(stream.StreamEnd.Garbage);
        }
        const overlong = await readStream([token(0), token(1), token(2)], { outputTokens: 2, staysOpen: true });
        chai.expect(overlong.end).to.equal(stream.StreamEnd.Garbage);
        chai.expect(overlong.pieces).to.have.length(2);
    });

    it("never yields a token that stands in no event, whatever comes", async () => {
        const line = fastCheck.oneof(
            fastCheck.string(),
            fastCheck.constantFrom("event: token", "event: end", "", ":", 'data: {"index":0,"text":"t"}', "data: null"),
        );
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(line, { maxLength: 12 }), async (lines) => {
                const { end, pieces } = await readStream([lines.join("\n")], {});
                chai.expect(Object.values(stream.StreamEnd)).to.include(end);
                pieces.forEach((piece) => chai.expect(Object.values(contract.PieceKind)).to.include(piece.kind));
            }),
            { numRuns: 60 },
        );
    });
});
