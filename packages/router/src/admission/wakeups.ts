import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";

/** Scheduled wake-ups by subject, with a single timer for the earliest. */
export interface WakeUps {
    /** Schedules the wake-up of a subject in place of an earlier one; undefined cancels it. */
    readonly set: (subject: string, at: decision.Milliseconds | undefined) => void;
}

/** Makes wake-ups that call wake with each subject that is due. An idle process keeps no timer running. */
export function makeWakeUps(
    scope: lifecycle.Scope,
    clock: decision.Clock,
    wake: (subject: string) => void,
): WakeUps {
    const times = new Map<string, decision.Milliseconds>();
    let armedAt = Infinity;
    let disarm: () => void = () => undefined;
    const arm = (at: decision.Milliseconds) => {
        if (at >= armedAt) {
            return;
        }
        disarm();
        armedAt = at;
        disarm = lifecycle.after(scope, Math.max(0, at - clock()), fireDue);
    };
    const fireDue = () => {
        armedAt = Infinity;
        const now = clock();
        const due = [...times].filter(([, at]) => at <= now);
        due.forEach(([subject]) => times.delete(subject));
        due.forEach(([subject]) => wake(subject));
        if (times.size > 0) {
            arm(Math.min(...times.values()));
        }
    };
    return {
        set: (subject, at) => {
            if (at === undefined) {
                times.delete(subject);
                return;
            }
            times.set(subject, at);
            arm(at);
        },
    };
}
