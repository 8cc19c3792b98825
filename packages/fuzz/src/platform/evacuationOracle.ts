/**
 * Checks that no request reaches a server of an evacuated failure domain.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import type { ContactRecord } from "./contactRecord.js";
import { platformLimits } from "./limits.js";

interface Evacuation<Gateway> {
    /** From when on no request may be sent to the domain. */
    readonly inForceAt: Milliseconds;
    /** The gateways that have been in contact since then. They know of it also when they lose contact. */
    readonly informed: Set<Gateway>;
}

/** The evacuations in force, and the gateways that they bind. */
export class EvacuationOracle<Gateway extends { readonly name: string; }> {
    private readonly evacuations = new Map<string, Evacuation<Gateway>>();

    /** @param gateways the gateway processes that are alive now */
    constructor(
        private readonly contact: ContactRecord<Gateway>,
        private readonly gateways: () => readonly Gateway[],
        private readonly fail: (promise: PromiseName, detail: string) => void,
    ) {}

    /** Records that the store acknowledged an evacuation. One that is in force already stays as it is. */
    recordRequested(failureDomain: string, now: Milliseconds): void {
        if (!this.evacuations.has(failureDomain)) {
            this.evacuations.set(failureDomain, { inForceAt: now + platformLimits.evacuation, informed: new Set() });
        }
    }

    /**
     * Records that an evacuation was withdrawn.
     *
     * @returns the gateways that knew of it; undefined if it was not in force
     */
    recordWithdrawn(failureDomain: string): ReadonlySet<Gateway> | undefined {
        this.observe();
        const informed = this.evacuations.get(failureDomain)?.informed;
        this.evacuations.delete(failureDomain);
        return informed;
    }

    /** Records which gateways know of the evacuations by now. Is called several times a second. */
    observe(): void {
        for (const { inForceAt, informed } of this.evacuations.values()) {
            this.gateways().filter(gateway => this.contact.knows(gateway, inForceAt))
                .forEach(gateway => informed.add(gateway));
        }
    }

    /** Checks a request that reached a server of a domain, by when the gateway sent it. */
    checkArrival(gateway: Gateway, server: string, failureDomain: string, sentAt: Milliseconds): void {
        const evacuation = this.evacuations.get(failureDomain);
        if (evacuation === undefined || sentAt <= evacuation.inForceAt) {
            return;
        }
        if (evacuation.informed.has(gateway)) {
            const elapsed = Math.round(sentAt - evacuation.inForceAt + platformLimits.evacuation);
            this.fail(
                "evacuated_domain_gets_no_requests",
                `${gateway.name} sent a request to ${server} ${elapsed} ms after the evacuation of ${failureDomain}`,
            );
        }
    }
}
