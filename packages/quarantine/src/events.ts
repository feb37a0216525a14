import type * as decision from "@citronlead/decision";

/** What a host starts from. */
export interface QuarantineSettings {
    readonly host: string;
}

/** The kinds of event. */
export enum QuarantineEventKind {
    /** An upstream crashed while it ran these contents for one host. */
    Crashed = "crashed",
    /** A content ran whole. */
    RanWhole = "ran-whole",
    /** Another host says that a suspect ran whole. */
    Cleared = "cleared",
    /** Another host, or the key-value service, says that a content is quarantined. */
    Quarantined = "quarantined",
    /** A host that has just started asks what is quarantined. */
    Asked = "asked",
    /** Time has passed; comes several times a second. */
    Tick = "tick",
}

/** What a host is told. */
export type QuarantineEvent =
    | {
        readonly kind: QuarantineEventKind.Crashed;
        readonly upstream: string;
        /** The incarnation that crashed; empty if the host does not know it. */
        readonly incarnation: string;
        readonly fingerprints: readonly string[];
        /** Whether this host ran them; else another reported it. */
        readonly own: boolean;
    }
    | {
        readonly kind: QuarantineEventKind.RanWhole | QuarantineEventKind.Cleared;
        readonly fingerprint: string;
    }
    | {
        readonly kind: QuarantineEventKind.Quarantined;
        readonly fingerprint: string;
        readonly durationMs: decision.Milliseconds;
        readonly offences: number;
    }
    | { readonly kind: QuarantineEventKind.Asked; readonly peer: string; }
    | { readonly kind: QuarantineEventKind.Tick; };

/** The kinds of action. */
export enum QuarantineActionKind {
    /** Tell every host of a crash. */
    Report = "report",
    /** Tell every host that a content is quarantined, and keep it for hosts that start. */
    Quarantine = "quarantine",
    /** Tell every host that a suspect ran whole. */
    Clear = "clear",
    /** Tell one host that a content is quarantined, for what is left of the time. */
    Tell = "tell",
}

/** What the shell has to do. */
export type QuarantineAction =
    | {
        readonly kind: QuarantineActionKind.Report;
        readonly upstream: string;
        readonly incarnation: string;
        readonly fingerprints: readonly string[];
    }
    | {
        readonly kind: QuarantineActionKind.Quarantine;
        readonly fingerprint: string;
        readonly durationMs: decision.Milliseconds;
        readonly offences: number;
    }
    | { readonly kind: QuarantineActionKind.Clear; readonly fingerprint: string; }
    | {
        readonly kind: QuarantineActionKind.Tell;
        readonly peer: string;
        readonly fingerprint: string;
        readonly durationMs: decision.Milliseconds;
        readonly offences: number;
    };
