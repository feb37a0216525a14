import type * as decision from "@citronlead/decision";
import * as members from "./member.js";
import * as states from "./state.js";

/** The decision module that golden files and `citronlead decide` run. */
export const membershipModule: decision.DecisionModule<
    states.MemberSettings,
    states.MemberState,
    states.MemberEvent,
    states.MemberAction
> = { name: "membership", start: states.createMemberState, decide: members.decideMember };
