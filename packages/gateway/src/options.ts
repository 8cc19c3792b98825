/**
 * The limits of a gateway, from its settings. They may change while it runs.
 */
import type { RetryBudgetOptions } from "@verbenaspring/coordination";
import type { FailureDomain, Milliseconds, PeerAddress } from "@verbenaspring/model";

/** Limits of one gateway. */
export interface GatewayOptions {
    readonly failureDomain: FailureDomain;
    /** Where the other gateways reach this one. */
    readonly peerAddress: PeerAddress;
    /** Where some gateways may be found; they may be out of date. */
    readonly seedAddresses: readonly PeerAddress[];
    /** What all gateways may spend on repeats together. */
    readonly retries: RetryBudgetOptions;
    /** From the request to stop until the process is ended from outside. */
    readonly stopLimit: Milliseconds;
}
