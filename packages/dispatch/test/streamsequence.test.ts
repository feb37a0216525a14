import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const head: dispatch.StreamHead = {
    status: 200,
    signed: true,
    contentEncoding: undefined,
    contentType: "text/event-stream",
    responseStarted: false,
};
const { Empty, Encoded, Incomplete, MalformedId, NoId, OtherType, Repeated, Skipped, Status, Unsigned } =
    dispatch.StreamProblem;

/** A stream of which events with the given ids have been passed on. */
function begun(ids: readonly (number | undefined)[], resumedAfter?: string): dispatch.StreamSequence {
    const sequence = new dispatch.StreamSequence(true, resumedAfter);
    sequence.beginAnswer(head);
    ids.forEach((id) => chai.expect(sequence.addEvent(id)).to.equal(true));
    return sequence;
}

/** The events of an answer that are passed on, and how the answer ends if it is whole. */
function add(sequence: dispatch.StreamSequence, ids: readonly (number | undefined)[], isBetweenEvents = true) {
    const passed: (number | undefined)[] = [];
    sequence.beginAnswer(head);
    for (const id of ids) {
        if (!sequence.addEvent(id)) {
            return { passed, problem: sequence.problem };
        }
        passed.push(id);
    }
    return { passed, problem: sequence.endAnswer(isBetweenEvents) };
}

describe("StreamSequence", () => {
    it("begins with no answer that is unsigned, encoded or a failure, and with one of any type", () => {
        const problemOf = (change: Partial<dispatch.StreamHead>) =>
            new dispatch.StreamSequence(true, undefined).beginAnswer({ ...head, ...change });
        chai.expect(problemOf({ status: 500, signed: false })).to.equal(Status);
        chai.expect(problemOf({ status: 206 })).to.equal(Status);
        chai.expect(problemOf({ signed: false })).to.equal(Unsigned);
        chai.expect(problemOf({ contentEncoding: "identity" })).to.equal(Encoded);
        chai.expect(problemOf({ contentType: "text/plain" })).to.equal(undefined);
    });

    it("goes on only with event streams, however their type is written", () => {
        const problemOf = (contentType: string | undefined) => begun([1]).beginAnswer({ ...head, contentType });
        for (const type of [undefined, "text/event-stream", "Text/Event-Stream ; charset=utf-8"]) {
            chai.expect(problemOf(type)).to.equal(undefined);
        }
        for (const type of ["", "text/plain", "text/event-streams", "application/json; a=text/event-stream"]) {
            chai.expect(problemOf(type)).to.equal(OtherType);
        }
        const started = new dispatch.StreamSequence(true, undefined);
        chai.expect(started.beginAnswer({ ...head, contentType: "text/plain", responseStarted: true }))
            .to.equal(OtherType);
    });

    it("goes on with the next event only", () => {
        for (
            const [id, problem] of [
                [undefined, NoId],
                [NaN, MalformedId],
                [3, Repeated],
                [1, Repeated],
                [5, Skipped],
            ] as const
        ) {
            chai.expect(add(begun([1, 2, 3]), [id])).to.deep.equal({ passed: [], problem });
            chai.expect(add(begun([], "3"), [id])).to.deep.equal({ passed: [], problem });
            chai.expect(add(begun([1, 2]), [3, id])).to.deep.equal({ passed: [3], problem });
        }
        chai.expect(add(begun([1, 2, 3]), [4, 5])).to.deep.equal({ passed: [4, 5], problem: undefined });
    });

    it("follows the order of ids that go up by other steps", () => {
        chai.expect(add(begun([10, 20]), [30, 45])).to.deep.equal({ passed: [30, 45], problem: undefined });
        chai.expect(add(begun([10, 20]), [20])).to.deep.equal({ passed: [], problem: Repeated });
    });

    it("ends with no answer that brings nothing, and inside an event only with its first", () => {
        chai.expect(add(begun([1]), []).problem).to.equal(Empty);
        chai.expect(add(begun([], "12"), []).problem).to.equal(Empty);
        chai.expect(begun([]).endAnswer(true)).to.equal(Empty);
        chai.expect(add(begun([1]), [2], false).problem).to.equal(Incomplete);
        chai.expect(begun([1]).endAnswer(false)).to.equal(undefined);
        const started = new dispatch.StreamSequence(true, undefined);
        started.beginAnswer({ ...head, responseStarted: true });
        started.addEvent(1);
        chai.expect(started.endAnswer(false)).to.equal(Incomplete);
    });

    it("asks no events of answers that are no event streams", () => {
        const plain = new dispatch.StreamSequence(false, undefined);
        plain.beginAnswer(head);
        chai.expect(plain.endAnswer(false)).to.equal(undefined);
        const text = new dispatch.StreamSequence(true, undefined);
        text.beginAnswer({ ...head, contentType: "text/plain" });
        chai.expect(text.endAnswer(false)).to.equal(undefined);
    });

    it("goes on nowhere after events that ids do not tell apart", () => {
        for (const ids of [[undefined], [1, undefined], [NaN]]) {
            chai.expect(begun(ids).mayGoOn).to.equal(false);
        }
        for (const ids of [[], [1, 2], [undefined, 1], [4, 9]]) {
            chai.expect(begun(ids).mayGoOn).to.equal(true);
        }
    });

    it("ends a first answer whose ids do not go up, and goes on nowhere", () => {
        for (const [ids, passed] of [[[1, 2, 1, 2], [1, 2]], [[1, 1], [1]], [[4, 9, 5], [4, 9]]] as const) {
            const sequence = new dispatch.StreamSequence(true, undefined);
            chai.expect(add(sequence, ids)).to.deep.equal({ passed, problem: Repeated });
            chai.expect(sequence.mayGoOn).to.equal(false);
        }
    });

    it("takes an answer to a caller's id that is no number for a stream that begins", () => {
        for (const id of ["", "x", "03", "-1", "1e3", "9".repeat(16)]) {
            chai.expect(begun([1, 2], id).mayGoOn).to.equal(true);
        }
        chai.expect(begun([], "0").lastEventId).to.equal("0");
    });

    it("holds back comments until an answer that goes on has shown an event", () => {
        const sequence = begun([]);
        chai.expect(sequence.passesComments).to.equal(true);
        sequence.addEvent(1);
        sequence.beginAnswer(head);
        chai.expect(sequence.passesComments).to.equal(false);
        sequence.addEvent(2);
        chai.expect(sequence.passesComments).to.equal(true);
    });

    it("passes on each event once and in order, whatever the answers that go on hold", () => {
        const id = fastCheck.oneof(
            { weight: 8, arbitrary: fastCheck.integer({ min: 0, max: 12 }) },
            fastCheck.constantFrom(undefined, NaN),
        );
        // Runs of ids, as sound answers have them, beside arbitrary ones.
        const run = fastCheck.tuple(fastCheck.integer({ min: 1, max: 12 }), fastCheck.integer({ min: 0, max: 5 }))
            .map(([first, count]) => Array.from({ length: count }, (_, index) => first + index));
        const answers = fastCheck.array(fastCheck.oneof(run, fastCheck.array(id, { maxLength: 5 })), { maxLength: 6 });
        fastCheck.assert(fastCheck.property(fastCheck.integer({ min: 1, max: 4 }), answers, (count, rests) => {
            const first = Array.from({ length: count }, (_, index) => index + 1);
            const sequence = begun(first);
            const passed: (number | undefined)[] = [...first];
            for (const rest of rests) {
                const before = passed.length;
                const { passed: added, problem } = add(sequence, rest);
                passed.push(...added);
                chai.expect(problem === undefined).to.equal(passed.length > before && added.length === rest.length);
            }
            chai.expect(passed).to.deep.equal(passed.map((_, index) => index + 1));
            chai.expect(sequence.lastEventId).to.equal(String(passed.length));
        }));
    });
});
