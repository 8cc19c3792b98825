/**
 * What processes, their links and the store went through. Bounds of time hold only for processes in touch.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { platformLimits } from "./bounds.js";

/** The harm of one schedule or run. */
export class FaultRecord {
    private readonly until = new Map<string, Milliseconds>();
    private storeUntil: Milliseconds = -Infinity;
    private anyUntil: Milliseconds = -Infinity;

    constructor(private readonly now: () => Milliseconds) {}

    /** A process, or its links, are harmed for some time. */
    note(name: string, duration: Milliseconds): void {
        const end = this.now() + duration;
        this.until.set(name, Math.max(end, this.untilOf(name)));
        this.anyUntil = Math.max(this.anyUntil, end);
    }

    /** The store is harmed for some time. */
    recordStoreFault(duration: Milliseconds): void {
        this.storeUntil = Math.max(this.storeUntil, this.now() + duration);
        this.anyUntil = Math.max(this.anyUntil, this.storeUntil);
    }

    /** Whether a process was harmed at a moment or later. */
    hadFaultSince(name: string, since: Milliseconds): boolean {
        return this.untilOf(name) >= since;
    }

    /** Whether a process, and the store, had been calm for long enough at a moment. */
    isFaultFree(name: string, at: Milliseconds): boolean {
        return Math.max(this.untilOf(name), this.storeUntil) + platformLimits.faultRecovery < at;
    }

    /** Whether all had been calm for long enough at a moment. */
    isSystemFaultFree(at: Milliseconds): boolean {
        return this.anyUntil + platformLimits.faultRecovery < at;
    }

    private untilOf(name: string): Milliseconds {
        return this.until.get(name) ?? -Infinity;
    }
}
