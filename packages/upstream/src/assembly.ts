import * as decision from "@citronlead/decision";
import * as contract from "./contract.js";

/** Progress of the answer to one request, which several streams may deliver. */
export interface Assembly {
    /** Index of the next token to pass on to the caller. All tokens before it were passed on, each exactly once. */
    readonly next: number;
    /** Whether the end was passed on. */
    readonly finished: boolean;
}

/** What to do with a stream event. */
export type AssemblyAction =
    | { readonly kind: AssemblyActionKind.Pass; readonly text: string; }
    | {
        readonly kind: AssemblyActionKind.Finish;
        readonly outputTokens: number;
        readonly reason: contract.FinishReason;
    }
    | { readonly kind: AssemblyActionKind.Resume; readonly offset: number; };

/** Kinds of assembly action. */
export enum AssemblyActionKind {
    /** Send the text to the caller. */
    Pass = "pass",
    /** Tell the caller that the answer is complete. */
    Finish = "finish",
    /** The stream skipped tokens: abandon it and resume from the offset. */
    Resume = "resume",
}

/** The assembly before the first event. */
export const emptyAssembly: Assembly = { next: 0, finished: false };

/**
 * Passes on the tokens of an answer in order. Repeated tokens are dropped, a gap requests a resumption, and events
 * after the end are ignored.
 */
export function assemble(
    assembly: Assembly,
    event: contract.StreamEvent,
): decision.Transition<Assembly, AssemblyAction> {
    if (assembly.finished) {
        return decision.withoutActions(assembly);
    }
    if (event.kind === contract.StreamEventKind.Token) {
        return assembleToken(assembly, event.index, event.text);
    }
    if (event.outputTokens > assembly.next) {
        return requestResume(assembly);
    }
    if (event.outputTokens < assembly.next) {
        return decision.withoutActions(assembly);
    }
    return {
        state: { ...assembly, finished: true },
        actions: [{ kind: AssemblyActionKind.Finish, outputTokens: event.outputTokens, reason: event.reason }],
    };
}

function assembleToken(
    assembly: Assembly,
    index: number,
    text: string,
): decision.Transition<Assembly, AssemblyAction> {
    if (index < assembly.next) {
        return decision.withoutActions(assembly);
    }
    if (index > assembly.next) {
        return requestResume(assembly);
    }
    return {
        state: { ...assembly, next: assembly.next + 1 },
        actions: [{ kind: AssemblyActionKind.Pass, text }],
    };
}

function requestResume(assembly: Assembly): decision.Transition<Assembly, AssemblyAction> {
    return { state: assembly, actions: [{ kind: AssemblyActionKind.Resume, offset: assembly.next }] };
}

/** The assembly as a decision module, which has no settings. */
export const assemblyModule: decision.DecisionModule<
    Record<string, never>,
    Assembly,
    contract.StreamEvent,
    AssemblyAction
> = {
    name: "assembly",
    start: () => emptyAssembly,
    decide: assemble,
};
