/**
 * Checks that all gateways together keep the limits that backend servers declare.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

interface DeclaredLimit<Gateway> {
    readonly perSecond: number;
    /** When the first request came after the server had declared it. */
    readonly declaredAt: Milliseconds;
    /** When each gateway passed on the first answer that declares the limit. */
    readonly informedAt: Map<Gateway, Milliseconds>;
    /** The times of the requests from gateways that had passed on the limit. */
    arrivals: Milliseconds[];
}

/** The limits in force and the requests that count towards them. */
export class ServerLimitOracle<Gateway> {
    private readonly limits = new Map<string, DeclaredLimit<Gateway>>();

    /**
     * @param requestLimitOf the limit that a server declares now
     * @param isExcused whether a gateway had a fault a moment ago, so that its requests don't count
     */
    constructor(
        private readonly requestLimitOf: (server: string) => number | undefined,
        private readonly fail: (promise: PromiseName, detail: string) => void,
        private readonly isExcused: (gateway: Gateway) => boolean,
    ) {}

    /** Records that a gateway passed on an answer that declares the server's limit. */
    recordInformed(gateway: Gateway, server: string, now: Milliseconds): void {
        const informedAt = this.limits.get(server)?.informedAt;
        informedAt?.set(gateway, informedAt.get(gateway) ?? now);
    }

    /** Records a request that reached a server, and checks the limit that it declared. */
    recordArrival(gateway: Gateway, server: string, now: Milliseconds): void {
        const limit = this.currentLimit(server, now);
        const informedAt = limit?.informedAt.get(gateway) ?? Infinity;
        if (limit === undefined || now < informedAt + platformLimits.serverLimitReaction || this.isExcused(gateway)) {
            return;
        }
        const { serverLimitWindow, serverLimitFactor, serverLimitSlack, serverLimitApply } = platformLimits;
        limit.arrivals = [...limit.arrivals, now].filter(at => at > now - serverLimitWindow);
        const allowed = serverLimitFactor * limit.perSecond * serverLimitWindow / 1_000 + serverLimitSlack;
        if (now >= limit.declaredAt + serverLimitApply && limit.arrivals.length > allowed) {
            this.fail(
                "server_limit_kept",
                `${server} got ${limit.arrivals.length} requests with a limit of ${limit.perSecond} a second`,
            );
        }
    }

    private currentLimit(server: string, now: Milliseconds): DeclaredLimit<Gateway> | undefined {
        const perSecond = this.requestLimitOf(server);
        const known = this.limits.get(server);
        if (known?.perSecond === perSecond) {
            return known;
        }
        this.limits.delete(server);
        if (perSecond !== undefined) {
            this.limits.set(server, { perSecond, declaredAt: now, informedAt: new Map(), arrivals: [] });
        }
        return this.limits.get(server);
    }
}
