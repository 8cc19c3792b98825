/**
 * The limits of a gateway, from its settings. They may change while it runs.
 */
import type { RetryBudgetOptions } from "@verbenaspring/coordination";
import type { FailureDomain, Milliseconds } from "@verbenaspring/model";

/** Limits of one gateway. */
export interface GatewayOptions {
    readonly failureDomain: FailureDomain;
    /** What all gateways may spend on repeats together. */
    readonly retries: RetryBudgetOptions;
    /** From the request to stop until the process is ended from outside. */
    readonly stopLimit: Milliseconds;
}
