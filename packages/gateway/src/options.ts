/**
 * The options of a gateway, from its settings. They may change while it runs.
 */
import type { ColdRate, OverlayShape, RetryBudgetOptions } from "@verbenaspring/coordination";
import type { FailureDomain, Milliseconds, PeerAddress } from "@verbenaspring/model";

/** The options of one gateway. */
export interface GatewayOptions {
    readonly failureDomain: FailureDomain;
    /** The address at which other gateways reach this one. */
    readonly peerAddress: PeerAddress;
    /** Addresses at which a gateway first looks for others. Some of them may be out of date. */
    readonly seedAddresses: readonly PeerAddress[];
    /** The shape of the links between gateways. */
    readonly overlay: OverlayShape;
    /** The retry budget that all gateways share. */
    readonly retries: RetryBudgetOptions;
    /** Megabits a second of the machine's link; undefined if unknown. */
    readonly linkRate?: number | undefined;
    /** The bound on the requests that a cold server receives; without it, cold servers are not limited. */
    readonly coldBound?: Omit<ColdRate, "perSecond"> | undefined;
    /** From the request to stop until the process is killed. */
    readonly stopLimit: Milliseconds;
    /**
     * From the request of an evacuation until no request reaches a server of the failure domain; undefined where
     * operators request none.
     */
    readonly evacuationLimit?: Milliseconds | undefined;
    /** From the operator's write of a configuration until it must be in force; undefined if the settings state no bound. */
    readonly configurationLimit?: Milliseconds | undefined;
    /**
     * From the acknowledgement that a backend server leaves until no request may reach it; undefined if the settings state
     * no bound.
     */
    readonly drainLimit?: Milliseconds | undefined;
}
