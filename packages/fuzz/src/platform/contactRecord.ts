/**
 * A record of which gateways were in contact with the store, or with peers that were. Only these can know what the
 * store's records say. A gateway is one process.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { FaultRecord } from "./faultRecord.js";
import { platformLimits } from "./limits.js";

/** The contacts of the gateways of one schedule or run. */
export class ContactRecord<Gateway extends { readonly name: string; }> {
    /** The faults of gateway processes, by name. */
    private readonly processFaults: FaultRecord;
    /** The faults of the store, and of the paths from gateways to it. */
    private readonly storeFaults: FaultRecord;
    /** The faults of the paths between two gateways. */
    private readonly peerFaults: FaultRecord;
    private readonly startedAt = new Map<Gateway, Milliseconds>();

    /** @param gateways the gateway processes that are alive now */
    constructor(private readonly now: () => Milliseconds, private readonly gateways: () => readonly Gateway[]) {
        this.processFaults = new FaultRecord(now);
        this.storeFaults = new FaultRecord(now);
        this.peerFaults = new FaultRecord(now);
    }

    /** Records that a gateway process handles nothing for a duration. */
    recordFreeze({ name }: Gateway, duration: Milliseconds): void {
        this.processFaults.recordProcessFault(name, duration);
    }

    /** Records a fault of the store that affects all gateways. */
    recordStoreFault(duration: Milliseconds): void {
        this.storeFaults.recordStoreFault(duration);
    }

    /** Records a fault of the path from a gateway to the store. */
    recordStorePathFault({ name }: Gateway, duration: Milliseconds): void {
        this.storeFaults.recordProcessFault(name, duration);
    }

    /** Records a fault of the path between two gateways. */
    recordPeerPathFault(one: Gateway, other: Gateway, duration: Milliseconds): void {
        this.peerFaults.recordProcessFault(pathName(one, other), duration);
    }

    /** Records the gateway processes that have started since the last call. Is called several times a second. */
    observe(): void {
        this.gateways().forEach(gateway => this.startedAt.set(gateway, this.startOf(gateway)));
    }

    /** Whether a gateway has been in contact for the time in which it recovers from faults. */
    isInContact(gateway: Gateway): boolean {
        return this.canLearn(gateway) && (this.canReadStore(gateway)
            || this.gateways().some(peer =>
                peer !== gateway && this.canReadStore(peer) && this.areLinked(gateway, peer)
            ));
    }

    /** Whether both gateways are alive, and have recovered from all faults as has the path between them. */
    areLinked(one: Gateway, other: Gateway): boolean {
        return [one, other].every(gateway => this.gateways().includes(gateway) && this.canLearn(gateway))
            && this.peerFaults.isFaultFree(pathName(one, other), this.now());
    }

    /**
     * Whether a gateway knows what was in the store at a time: it was in contact for long enough since then, or it
     * started later and no gateway lacked contact.
     */
    knows(gateway: Gateway, since: Milliseconds): boolean {
        const now = this.now();
        const isKnownToAll = [this.processFaults, this.storeFaults, this.peerFaults]
            .every(faults => faults.isSystemFaultFree(now));
        return now > since && (this.isInContact(gateway) || (isKnownToAll && this.startOf(gateway) > since));
    }

    private startOf(gateway: Gateway): Milliseconds {
        return this.startedAt.get(gateway) ?? this.now();
    }

    private canLearn(gateway: Gateway): boolean {
        const now = this.now();
        return this.processFaults.isFaultFree(gateway.name, now)
            && now - this.startOf(gateway) > platformLimits.faultRecovery;
    }

    private canReadStore({ name }: Gateway): boolean {
        return this.storeFaults.isFaultFree(name, this.now());
    }
}

function pathName(one: { readonly name: string; }, other: { readonly name: string; }): string {
    return [one.name, other.name].sort().join(" ");
}
