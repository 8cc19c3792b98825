/**
 * The cold state of one backend server: until when it is cold, since when its record says so, and the requests that it
 * got in the last second.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** The rate at which cold servers may get requests, from all gateways together. */
export interface ColdRate {
    /** Requests a second, as the configuration states it. */
    readonly perSecond: number;
    /** How many times that rate may be reached. */
    readonly overshoot: number;
    /** Requests on top of that. */
    readonly tolerance: number;
}

/** How the servers of a fleet are cold. */
export interface ColdPlan {
    readonly rate: ColdRate;
    /** How long a server is cold after it starts, and after the evacuation of its domain. */
    readonly duration: Milliseconds;
}

/** A period in which a server is cold. */
export interface ColdPeriod {
    readonly since: Milliseconds;
    readonly until: Milliseconds;
    /** Whether it began with the start of a server at an address that no server had before. */
    readonly isFromStart: boolean;
    /** When a record first said so; undefined before that. */
    publishedAt: Milliseconds | undefined;
}

/** The period over which requests to a cold server are counted. */
export const coldWindow: Milliseconds = 1_000;
/** How many times the bound crashes a cold server. */
const crashFactor = 2;
/** How long after its record said that it is cold a server still gets on with more: nobody can know it at once. */
const noticeTime: Milliseconds = 2_000;

/**
 * The most requests that a cold server may get in a second.
 *
 * @example
 * coldBound({ perSecond: 31, overshoot: 1.5, tolerance: 5 }); // 51.5
 */
export function coldBound({ perSecond, overshoot, tolerance }: ColdRate): number {
    return perSecond * overshoot + tolerance;
}

/** The cold state of one incarnation of a server. */
export class ColdState {
    private lastPeriod: ColdPeriod | undefined = undefined;
    private arrivals: Milliseconds[] = [];

    /** The period that the server is in; undefined while it is not cold. */
    period(now: Milliseconds): ColdPeriod | undefined {
        return this.lastPeriod !== undefined && now < this.lastPeriod.until ? this.lastPeriod : undefined;
    }

    /** Makes the server cold. If it is cold already and would be for less time, a new period begins. */
    start(now: Milliseconds, duration: Milliseconds, isFromStart = false): void {
        const until = now + duration;
        if (until > (this.period(now)?.until ?? now)) {
            this.lastPeriod = { since: now, until, isFromStart, publishedAt: undefined };
        }
    }

    /** For how much longer the server is cold, in whole milliseconds as records state it. */
    remaining(now: Milliseconds): Milliseconds {
        return Math.ceil(Math.max(0, (this.lastPeriod?.until ?? now) - now));
    }

    /** Records that a record of the server, which states its cold state, reached the store. */
    recordPublished(now: Milliseconds): void {
        const period = this.period(now);
        if (period !== undefined) {
            period.publishedAt ??= now;
        }
    }

    /** Counts a request. Returns whether the server got so many while cold that it crashes. */
    crashesUnderNext(rate: ColdRate, now: Milliseconds): boolean {
        const period = this.period(now);
        const countsFrom = period?.isFromStart === true ? period.since : (period?.publishedAt ?? Infinity) + noticeTime;
        if (now < countsFrom) {
            return false;
        }
        this.arrivals = [...this.arrivals, now].filter(at => at > now - coldWindow);
        return this.arrivals.length > crashFactor * coldBound(rate);
    }
}
