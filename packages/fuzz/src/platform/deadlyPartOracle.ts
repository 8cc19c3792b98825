/**
 * Checks that requests with a part that crashes engines stop reaching them.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

/** The crashes under one deadly part, and the requests with it that reached engines later than the bound allows. */
export class DeadlyPartOracle {
    private part: string | undefined;
    private readonly crashTimes: Milliseconds[] = [];
    private lateArrivals = 0;

    constructor(private readonly fail: (promise: PromiseName, detail: string) => void) {}

    /** Starts to check another part. */
    startPart(part: string): void {
        this.part = part;
        this.crashTimes.length = 0;
        this.lateArrivals = 0;
    }

    /** Records that an engine crashed under the part. */
    recordCrash(now: Milliseconds): void {
        this.crashTimes.push(now);
    }

    /** Records a request that a gateway in touch sent to an engine, and checks that there are few once the part is known. */
    recordArrival(sharedParts: readonly string[], now: Milliseconds): void {
        const fifthCrash = this.crashTimes.at(platformLimits.deadlyPartCrashes - 1);
        const isLate = fifthCrash !== undefined && now > fifthCrash + platformLimits.faultRecovery;
        if (this.part === undefined || !isLate || !sharedParts.includes(this.part)) {
            return;
        }
        this.lateArrivals++;
        if (this.lateArrivals > platformLimits.deadlyPartSlack) {
            this.fail("deadly_part_contained", `${this.lateArrivals} requests after ${this.crashTimes.length} crashes`);
        }
    }
}
