/**
 * The context in which the reducer handles one event.
 */
import type { RandomSource } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { Decision, DecisionFields, GatewayEffect } from "./effect.js";
import type { GatewayState } from "./state.js";

/** The state, time and randomness of one event, and the effects collected so far. */
export interface Transaction {
    readonly state: GatewayState;
    readonly source: RandomSource;
    readonly now: Milliseconds;
    readonly effects: GatewayEffect[];
}

/** Adds an effect that logs and counts a decision. */
export function logDecision(
    transaction: Transaction,
    level: Decision["level"],
    event: string,
    fields: DecisionFields,
): void {
    transaction.effects.push({ kind: "logDecision", decision: { level, event, fields } });
}
