/**
 * Checks that cold servers get no more requests in a second than they may, summed over all gateways that can know that
 * they are cold.
 */
import { coldBound, type ColdPeriod, type ColdRate, coldWindow } from "@verbenaspring/emulator";
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import type { ContactRecord } from "./contactRecord.js";
import { platformLimits } from "./limits.js";

interface CountedPeriod<Gateway> {
    readonly server: string;
    /** Since when each gateway knows that the server is cold, whether or not it loses contact later. */
    readonly informedAt: Map<Gateway, Milliseconds>;
    /** When the requests that arrived in the last second were sent. */
    sentAt: Milliseconds[];
}

/** The periods in which servers are cold, and the requests that arrived in them. */
export class ColdServerOracle<Gateway extends { readonly name: string; }> {
    private readonly periods = new Map<ColdPeriod, CountedPeriod<Gateway>>();

    /** @param gateways the gateway processes that are alive now */
    constructor(
        private readonly rate: ColdRate,
        private readonly contact: ContactRecord<Gateway>,
        private readonly gateways: () => readonly Gateway[],
        private readonly fail: (promise: PromiseName, detail: string) => void,
    ) {}

    /** Records that gateways know by other means than a record that a server is cold. */
    recordInformed(server: string, period: ColdPeriod, gateways: Iterable<Gateway>, now: Milliseconds): void {
        const { informedAt } = this.findOrCreate(server, period);
        [...gateways].filter(gateway => !informedAt.has(gateway)).forEach(gateway => informedAt.set(gateway, now));
    }

    /** Records which gateways know of the cold periods by now. Is called several times a second. */
    observe(now: Milliseconds): void {
        for (const [period, { server }] of this.periods) {
            if (period.until <= now) {
                this.periods.delete(period);
            }
            else if (period.publishedAt !== undefined) {
                const since = period.publishedAt + platformLimits.coldRecordApply;
                this.recordInformed(
                    server,
                    period,
                    this.gateways().filter(gateway => this.contact.knows(gateway, since)),
                    now,
                );
            }
        }
    }

    /** Records that a server is cold. Is called as soon as it is, and again in the same period. */
    recordCold(server: string, period: ColdPeriod): void {
        this.findOrCreate(server, period);
    }

    /** Counts a request that a cold server got and did not refuse as intended for another one. */
    recordArrival(
        gateway: Gateway,
        server: string,
        period: ColdPeriod,
        sentAt: Milliseconds,
        now: Milliseconds,
    ): void {
        const counted = this.findOrCreate(server, period);
        const informedAt = period.isFromStart ? period.since : counted.informedAt.get(gateway) ?? Infinity;
        if (sentAt < informedAt) {
            return;
        }
        counted.sentAt = [...counted.sentAt, sentAt].filter(at => at > now - coldWindow);
        const bound = coldBound(this.rate);
        if (counted.sentAt.length > bound) {
            this.fail("cold_rate_kept", `${server} got ${counted.sentAt.length} requests in a second, of ${bound}`);
        }
    }

    private findOrCreate(server: string, period: ColdPeriod): CountedPeriod<Gateway> {
        const counted = this.periods.get(period)
            ?? { server, informedAt: new Map<Gateway, Milliseconds>(), sentAt: [] };
        this.periods.set(period, counted);
        return counted;
    }
}
