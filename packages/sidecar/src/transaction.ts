/**
 * One pass through the reducer: the state, the time, and the effects gathered so far.
 */
import type { RandomSource, SidecarMessage } from "@verbenaspring/coordination";
import type { EntryIncarnation, Milliseconds } from "@verbenaspring/model";
import type { SidecarEffect, SidecarObservation } from "./effect.js";
import type { SidecarPolicies } from "./parts.js";
import type { SidecarState } from "./state.js";

/** What every step of the reducer works on. */
export interface Transaction {
    readonly state: SidecarState;
    readonly policies: SidecarPolicies;
    readonly source: RandomSource;
    readonly now: Milliseconds;
    readonly effects: SidecarEffect[];
}

/** Sends a message over the newest link of an entry; without an open link it is left out, and asked for again. */
export function send(transaction: Transaction, entry: EntryIncarnation, message: SidecarMessage): boolean {
    const record = transaction.state.links.get(entry);
    if (record === undefined || !record.isOpen) {
        return false;
    }
    transaction.effects.push({ kind: "sendMessage", entry, linkNumber: record.linkNumber, message });
    return true;
}

/** Adds an observation. */
export function observe(transaction: Transaction, observation: SidecarObservation): void {
    transaction.effects.push({ kind: "observe", observation });
}
