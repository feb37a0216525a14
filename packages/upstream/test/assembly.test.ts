import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as upstream from "../src/index.js";

function token(index: number): upstream.StreamEvent {
    return { kind: upstream.StreamEventKind.Token, index, text: `${index} ` };
}

function end(outputTokens: number): upstream.StreamEvent {
    return { kind: upstream.StreamEventKind.End, outputTokens, reason: upstream.FinishReason.Stop };
}

/** Feeds the events of one stream until a gap requests a resumption, as the router does. */
function feed(
    assembly: upstream.Assembly,
    events: readonly upstream.StreamEvent[],
    passed: string[],
): upstream.Assembly {
    let state = assembly;
    for (const event of events) {
        const transaction = upstream.assemble(state, event);
        state = transaction.state;
        for (const action of transaction.actions) {
            if (action.kind === upstream.AssemblyActionKind.Pass) {
                passed.push(action.text);
            }
            if (action.kind === upstream.AssemblyActionKind.Resume) {
                return state;
            }
        }
    }
    return state;
}

describe("Assembly of an answer", () => {
    it("passes on each token once and in order, whatever repetitions, gaps and reorderings the streams have", () => {
        const anyEvents = fastCheck.array(fastCheck.oneof(fastCheck.nat(12).map(token), fastCheck.constant(end(10))));
        fastCheck.assert(
            fastCheck.property(fastCheck.array(anyEvents), (streams) => {
                const passed: string[] = [];
                let state = upstream.emptyAssembly;
                for (const events of streams) {
                    state = feed(state, events, passed);
                }
                chai.expect(passed).to.deep.equal(Array.from({ length: state.next }, (_, index) => `${index} `));
            }),
            { seed: 20_261_204, numRuns: 500 },
        );
    });

    it("finishes only after all tokens were passed on, and ignores events after the end", () => {
        const passed: string[] = [];
        let state = feed(upstream.emptyAssembly, [token(0), end(2)], passed);
        chai.expect(state).to.deep.equal({ next: 1, finished: false });
        state = feed(state, [token(1), end(2), token(2)], passed);
        chai.expect(state).to.deep.equal({ next: 2, finished: true });
        chai.expect(passed).to.deep.equal(["0 ", "1 "]);
    });
});
