/**
 * A record of the faults that processes, their links and the store had. Time limits apply only to processes without
 * recent faults.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { platformLimits } from "./limits.js";

/** The faults of one schedule or run. */
export class FaultRecord {
    private readonly processFaultEnds = new Map<string, Milliseconds>();
    private storeFaultEnd: Milliseconds = -Infinity;
    private lastFaultEnd: Milliseconds = -Infinity;

    constructor(private readonly now: () => Milliseconds) {}

    /** Records a fault of a process or of its links. */
    recordProcessFault(name: string, duration: Milliseconds): void {
        const end = this.now() + duration;
        this.processFaultEnds.set(name, Math.max(end, this.processFaultEnd(name)));
        this.lastFaultEnd = Math.max(this.lastFaultEnd, end);
    }

    /** Records that a process starts again after a planned stop, which is no fault of the system. */
    recordPlannedRestart(name: string, duration: Milliseconds): void {
        this.processFaultEnds.set(name, Math.max(this.now() + duration, this.processFaultEnd(name)));
    }

    /** Records a fault of the store. */
    recordStoreFault(duration: Milliseconds): void {
        this.storeFaultEnd = Math.max(this.storeFaultEnd, this.now() + duration);
        this.lastFaultEnd = Math.max(this.lastFaultEnd, this.storeFaultEnd);
    }

    /** Whether a fault of a process was in force at a time or later. */
    hadFaultSince(name: string, since: Milliseconds): boolean {
        return this.processFaultEnd(name) >= since;
    }

    /** Whether, at a time, a process and the store have recovered from all of their faults. */
    isFaultFree(name: string, at: Milliseconds): boolean {
        return Math.max(this.processFaultEnd(name), this.storeFaultEnd) + platformLimits.faultRecovery < at;
    }

    /** Whether, at a time, the whole system has recovered from all faults. */
    isSystemFaultFree(at: Milliseconds): boolean {
        return this.lastFaultEnd + platformLimits.faultRecovery < at;
    }

    private processFaultEnd(name: string): Milliseconds {
        return this.processFaultEnds.get(name) ?? -Infinity;
    }
}
