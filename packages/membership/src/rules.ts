/** The rules that keep two hosts from acting for one partition at the same time. See docs/design/takeover.md. */
export enum Rule {
    /** 1: a holder counts its right from the moment at which it asked. */
    CountFromAsking = "1",
    /** 2: a host promises only while its own right holds. */
    GiveWithinOwnRight = "2",
    /** 2, stand-in: who stands in for a successor that is gone first waits until its promises have lapsed. */
    StandInWaits = "2-wait",
    /** 3: a promise holds only for the version of the record that names the giver. */
    NamedInRecord = "3",
    /** 3, drop: a host drops the former successor's promise before it asks for another successor. */
    DropBeforeRename = "3-drop",
    /** 4: a successor takes over only after its own promise lapsed. */
    TakeOverAfterPromise = "4",
    /** 4, lease: a successor takes over only when the lease in the key-value service is gone. */
    TakeOverAfterLease = "4-lease",
    /** 4, consent: a successor takes over only when every other one has agreed or is gone. */
    TakeOverAfterConsent = "4-consent",
    /** 5, consent: who has agreed to a takeover promises nothing more under that version of the record. */
    RefuseAfterConsent = "5-consent",
    /** 5a: a successor stops promising before it asks for the takeover. */
    RefuseBeforeTakeover = "5a",
    /** 5b: it goes on refusing until it has read whether an unanswered takeover took effect. */
    RefuseUntilReadBack = "5b",
}

/** Whether a rule is in force. Every rule is, except in the runs that show what each is needed for. */
export function inForce(settings: { readonly omit?: readonly Rule[]; }, rule: Rule): boolean {
    return settings.omit === undefined || !settings.omit.includes(rule);
}
