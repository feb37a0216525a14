import type * as decision from "@citronlead/decision";

/** The settings of the quarantine at one host. */
export interface QuarantineSettings {
    readonly host: string;
}

/** The kinds of event. */
export enum QuarantineEventKind {
    /** An upstream crashed while it was running these contents for one host. */
    Crashed = "crashed",
    /** A content ran to completion at an upstream. */
    Completed = "ran-whole",
    /** Another host reports that a suspect ran to completion. */
    Cleared = "cleared",
    /** Another host or the key-value service reports a quarantine. */
    Quarantined = "quarantined",
    /** A host that has just started requests the current quarantines. */
    QuarantinesRequested = "asked",
    /** Fires several times a second. */
    Tick = "tick",
}

/** An event at one host. */
export type QuarantineEvent =
    | {
        readonly kind: QuarantineEventKind.Crashed;
        readonly upstream: string;
        /** The incarnation of the upstream that crashed; empty if the host does not know it. */
        readonly incarnation: string;
        /** The contents that were running at the upstream for the reporting host. */
        readonly fingerprints: readonly string[];
        /** Whether this host sent the contents; false if another host reported the crash. */
        readonly own: boolean;
    }
    | {
        readonly kind: QuarantineEventKind.Completed | QuarantineEventKind.Cleared;
        readonly fingerprint: string;
    }
    | {
        readonly kind: QuarantineEventKind.Quarantined;
        readonly fingerprint: string;
        /** The time left of the quarantine. */
        readonly durationMs: decision.Milliseconds;
        /** How often the content has been quarantined, this time included. */
        readonly offences: number;
    }
    | { readonly kind: QuarantineEventKind.QuarantinesRequested; readonly peer: string; }
    | { readonly kind: QuarantineEventKind.Tick; };

/** The kinds of action. */
export enum QuarantineActionKind {
    /** Report a crash to all other hosts. */
    ReportCrash = "report",
    /** Announce a quarantine to all other hosts, and store it for hosts that start later. */
    AnnounceQuarantine = "quarantine",
    /** Announce to all other hosts that a suspect ran to completion. */
    AnnounceClearance = "clear",
    /** Send a quarantine to one host, with its remaining time. */
    SendQuarantine = "tell",
}

/** An action that the shell carries out. */
export type QuarantineAction =
    | {
        readonly kind: QuarantineActionKind.ReportCrash;
        readonly upstream: string;
        readonly incarnation: string;
        readonly fingerprints: readonly string[];
    }
    | {
        readonly kind: QuarantineActionKind.AnnounceQuarantine;
        readonly fingerprint: string;
        readonly durationMs: decision.Milliseconds;
        readonly offences: number;
    }
    | { readonly kind: QuarantineActionKind.AnnounceClearance; readonly fingerprint: string; }
    | {
        readonly kind: QuarantineActionKind.SendQuarantine;
        readonly peer: string;
        readonly fingerprint: string;
        readonly durationMs: decision.Milliseconds;
        readonly offences: number;
    };
