import * as decision from "@citronlead/decision";
import * as contract from "./contract.js";

/** How far the answer to one request has come. */
export interface Assembly {
    /** The index of the token that the caller needs next: all before it were passed on, each once. */
    readonly next: number;
    /** Set once the end was passed on. */
    readonly finished: boolean;
}

/** What to do with a piece that arrived. */
export type AssemblyAction =
    | { readonly kind: AssemblyActionKind.Pass; readonly text: string; }
    | {
        readonly kind: AssemblyActionKind.Finish;
        readonly outputTokens: number;
        readonly reason: contract.FinishReason;
    }
    | { readonly kind: AssemblyActionKind.Resume; readonly offset: number; };

/** The kinds of assembly action. */
export enum AssemblyActionKind {
    /** Send the text to the caller. */
    Pass = "pass",
    /** Tell the caller that the answer is whole. */
    Finish = "finish",
    /** The stream has a hole: leave it and resume from the offset. */
    Resume = "resume",
}

/** The assembly before the first piece. */
export const emptyAssembly: Assembly = { next: 0, finished: false };

/** Puts the pieces of an answer in order. Repeats are dropped, a hole asks for a resumption, nothing follows the end. */
export function assemble(
    assembly: Assembly,
    piece: contract.Piece,
): decision.Transaction<Assembly, AssemblyAction> {
    if (assembly.finished) {
        return decision.unchanged(assembly);
    }
    if (piece.kind === contract.PieceKind.Token) {
        return assembleToken(assembly, piece.index, piece.text);
    }
    if (piece.outputTokens > assembly.next) {
        return resume(assembly);
    }
    if (piece.outputTokens < assembly.next) {
        return decision.unchanged(assembly);
    }
    return {
        state: { ...assembly, finished: true },
        actions: [{ kind: AssemblyActionKind.Finish, outputTokens: piece.outputTokens, reason: piece.reason }],
    };
}

function assembleToken(
    assembly: Assembly,
    index: number,
    text: string,
): decision.Transaction<Assembly, AssemblyAction> {
    if (index < assembly.next) {
        return decision.unchanged(assembly);
    }
    if (index > assembly.next) {
        return resume(assembly);
    }
    return {
        state: { ...assembly, next: assembly.next + 1 },
        actions: [{ kind: AssemblyActionKind.Pass, text }],
    };
}

function resume(assembly: Assembly): decision.Transaction<Assembly, AssemblyAction> {
    return { state: assembly, actions: [{ kind: AssemblyActionKind.Resume, offset: assembly.next }] };
}

/** The assembly as a decision module. Its settings are empty. */
export const assemblyModule: decision.DecisionModule<Record<string, never>, Assembly, contract.Piece, AssemblyAction> =
    {
        name: "assembly",
        start: () => emptyAssembly,
        decide: assemble,
    };
