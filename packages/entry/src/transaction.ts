/**
 * The context in which the reducer handles one event: the state, the time, and the effects so far.
 */
import type { EntryMessage, RandomSource } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { EntryEffect, EntryObservation } from "./effect.js";
import type { EntryPolicies } from "./policies.js";
import type { EntryLink, EntryState } from "./state.js";

/** The context that every function of the reducer gets. */
export interface Transaction {
    readonly state: EntryState;
    readonly policies: EntryPolicies;
    readonly source: RandomSource;
    readonly now: Milliseconds;
    readonly effects: EntryEffect[];
}

/** Sends a message over a link if it is open. What is still needed is sent again when the link reopens. */
export function send(transaction: Transaction, link: EntryLink | undefined, message: EntryMessage): void {
    if (link?.phase !== "open") {
        return;
    }
    link.lastSent = transaction.now;
    const { backendServer, linkNumber } = link;
    transaction.effects.push({ kind: "sendMessage", backendServer, linkNumber, message });
}

/** Adds an effect that logs or counts an observation. */
export function observe(transaction: Transaction, observation: EntryObservation): void {
    transaction.effects.push({ kind: "observe", observation });
}
