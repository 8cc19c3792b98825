/**
 * What processes, their links and the store went through. Bounds of time hold only for processes in touch.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { platformLimits } from "./bounds.js";

/** The harm of one schedule or run. */
export class FaultRecord {
    private readonly processFaultEnds = new Map<string, Milliseconds>();
    private storeFaultEnd: Milliseconds = -Infinity;
    private lastFaultEnd: Milliseconds = -Infinity;

    constructor(private readonly now: () => Milliseconds) {}

    /** A process, or its links, are harmed for some time. */
    note(name: string, duration: Milliseconds): void {
        const end = this.now() + duration;
        this.processFaultEnds.set(name, Math.max(end, this.processFaultEnd(name)));
        this.lastFaultEnd = Math.max(this.lastFaultEnd, end);
    }

    /** The store is harmed for some time. */
    recordStoreFault(duration: Milliseconds): void {
        this.storeFaultEnd = Math.max(this.storeFaultEnd, this.now() + duration);
        this.lastFaultEnd = Math.max(this.lastFaultEnd, this.storeFaultEnd);
    }

    /** Whether a process was harmed at a moment or later. */
    hadFaultSince(name: string, since: Milliseconds): boolean {
        return this.processFaultEnd(name) >= since;
    }

    /** Whether a process, and the store, had been calm for long enough at a moment. */
    isFaultFree(name: string, at: Milliseconds): boolean {
        return Math.max(this.processFaultEnd(name), this.storeFaultEnd) + platformLimits.faultRecovery < at;
    }

    /** Whether all had been calm for long enough at a moment. */
    isSystemFaultFree(at: Milliseconds): boolean {
        return this.lastFaultEnd + platformLimits.faultRecovery < at;
    }

    private processFaultEnd(name: string): Milliseconds {
        return this.processFaultEnds.get(name) ?? -Infinity;
    }
}
