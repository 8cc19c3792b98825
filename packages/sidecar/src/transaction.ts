/**
 * The context in which the reducer handles one event: the state, the time, and the effects so far.
 */
import type { RandomSource, SidecarMessage } from "@verbenaspring/coordination";
import type { EntryIncarnation, Milliseconds } from "@verbenaspring/model";
import type { SidecarEffect, SidecarObservation } from "./effect.js";
import type { SidecarPolicies } from "./policies.js";
import type { SidecarState } from "./state.js";

/** The context that every function of the reducer gets. */
export interface Transaction {
    readonly state: SidecarState;
    readonly policies: SidecarPolicies;
    readonly source: RandomSource;
    readonly now: Milliseconds;
    readonly effects: SidecarEffect[];
}

/**
 * Sends a message over the newest link of an entry. Returns false if that link is closed; over the next one the entry
 * requests what it still needs.
 */
export function send(transaction: Transaction, entry: EntryIncarnation, message: SidecarMessage): boolean {
    const record = transaction.state.links.get(entry);
    if (record === undefined || !record.isOpen) {
        return false;
    }
    transaction.effects.push({ kind: "sendMessage", entry, linkNumber: record.linkNumber, message });
    return true;
}

/** Adds an effect that logs or counts an observation. */
export function observe(transaction: Transaction, observation: SidecarObservation): void {
    transaction.effects.push({ kind: "observe", observation });
}
