/** The rules that keep two hosts from acting for one partition at the same time. See docs/design/takeover.md. */
export enum Rule {
    /** 1: a holder counts the duration of a lease from the moment at which it sent the request. */
    CountFromRequest = "1",
    /** 2: a host grants successor leases only while its own right to act is valid. */
    GrantWithinOwnRight = "2",
    /** 2, wait: a host that replaces a missing successor first waits until the leases that one granted have expired. */
    SubstituteWaits = "2-wait",
    /** 3: a successor lease is valid only for the version of the record that names its grantor. */
    GrantOnlyIfNamed = "3",
    /** 3, drop: a host drops its successor leases before it writes other successors to its record. */
    DropBeforeSuccessorChange = "3-drop",
    /** 4: a successor takes over only after the lease that it granted has expired. */
    TakeOverAfterOwnGrant = "4",
    /** 4, lease: a successor takes over only when the host lease is gone from the key-value service. */
    TakeOverAfterLease = "4-lease",
    /** 4, consent: a successor takes over only when every other successor has consented or is gone. */
    TakeOverAfterConsent = "4-consent",
    /** 5, consent: a host that consented to a takeover grants no more leases under that version of the record. */
    RefuseAfterConsent = "5-consent",
    /** 5a: a successor stops granting leases before it requests the takeover. */
    RefuseBeforeTakeover = "5a",
    /** 5b: it keeps refusing until it has read whether an unanswered takeover took effect. */
    RefuseUntilReadBack = "5b",
}

/** Whether a rule is enforced. All are, except in test runs that show why each is needed. */
export function isEnforced(settings: { readonly omit?: readonly Rule[]; }, rule: Rule): boolean {
    return settings.omit === undefined || !settings.omit.includes(rule);
}
