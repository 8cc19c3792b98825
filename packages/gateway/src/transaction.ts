/**
 * One pass through the reducer: the state, the time, chance, and the effects so far.
 */
import type { RandomSource } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";
import type { Decision, DecisionFields, GatewayEffect } from "./effect.js";
import type { GatewayState } from "./state.js";

/** What every step of the reducer works on. */
export interface Transaction {
    readonly state: GatewayState;
    readonly source: RandomSource;
    readonly now: Milliseconds;
    readonly effects: GatewayEffect[];
}

/** Records a decision. */
export function record(
    transaction: Transaction,
    level: Decision["level"],
    event: string,
    fields: DecisionFields,
): void {
    transaction.effects.push({ kind: "record", decision: { level, event, fields } });
}
