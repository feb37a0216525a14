import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";

/** Wake-ups by subject with one timer for the nearest of them. */
export interface WakeUps {
    /** Sets the wake-up of a subject, in place of its former one; undefined clears it. */
    readonly set: (subject: string, at: decision.Milliseconds | undefined) => void;
}

/** Makes wake-ups that call back when their time has come. An idle process keeps no timer. */
export function makeWakeUps(
    scope: lifecycle.Lifecycle,
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
        disarm = lifecycle.after(scope, Math.max(0, at - clock()), fire);
    };
    const fire = () => {
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
