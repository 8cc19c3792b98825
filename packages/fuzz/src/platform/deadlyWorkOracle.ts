/**
 * Checks that what crashes servers stops reaching them.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

/** What is deadly, and how often it may still reach servers. */
export interface DeadlyWork {
    /** A noun in the plural, for messages. */
    readonly name: string;
    /** Crashes after which it must stop. */
    readonly crashes: number;
    /** How often it may reach servers later. */
    readonly slack: number;
}

/** The crashes under one part of a prompt or one request, and how often it reached servers later than the bound allows. */
export class DeadlyWorkOracle {
    private current: string | undefined;
    private readonly crashTimes: Milliseconds[] = [];
    private lateArrivals = 0;

    constructor(
        private readonly work: DeadlyWork,
        private readonly fail: (promise: PromiseName, detail: string) => void,
    ) {}

    /** Starts to check another part or request. */
    start(id: string): void {
        this.current = id;
        this.crashTimes.length = 0;
        this.lateArrivals = 0;
    }

    /** Records that a server crashed under it. */
    recordCrash(now: Milliseconds): void {
        this.crashTimes.push(now);
    }

    /** Records a call that a gateway in touch sent to a server, and checks that there are few once it is known. */
    recordArrival(ids: readonly string[], now: Milliseconds): void {
        const lastAllowedCrash = this.crashTimes.at(this.work.crashes - 1);
        const isLate = lastAllowedCrash !== undefined && now > lastAllowedCrash + platformLimits.faultRecovery;
        if (this.current === undefined || !isLate || !ids.includes(this.current)) {
            return;
        }
        this.lateArrivals++;
        if (this.lateArrivals > this.work.slack) {
            const { name } = this.work;
            this.fail("deadly_work_contained", `${this.lateArrivals} ${name} after ${this.crashTimes.length} crashes`);
        }
    }
}
