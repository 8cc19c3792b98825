/**
 * One pass through the reducer: the state, the time, and the effects gathered so far.
 */
import type { EntryMessage, RandomSource } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { EntryEffect, EntryObservation } from "./effect.js";
import type { EntryPolicies } from "./parts.js";
import type { EntryLink, EntryState } from "./state.js";

/** What every step of the reducer works on. */
export interface Transaction {
    readonly state: EntryState;
    readonly policies: EntryPolicies;
    readonly source: RandomSource;
    readonly now: Milliseconds;
    readonly effects: EntryEffect[];
}

/** Sends a message over a link, where it is open. A link that opens anew repeats what is still wanted. */
export function send(transaction: Transaction, link: EntryLink | undefined, message: EntryMessage): void {
    if (link?.phase !== "open") {
        return;
    }
    link.lastSent = transaction.now;
    const { backendServer, linkNumber: linkNumber } = link;
    transaction.effects.push({ kind: "sendMessage", backendServer, linkNumber, message });
}

/** Adds an observation. */
export function observe(transaction: Transaction, observation: EntryObservation): void {
    transaction.effects.push({ kind: "observe", observation });
}
