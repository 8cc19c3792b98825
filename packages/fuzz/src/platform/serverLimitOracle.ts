/**
 * Checks that all gateways together keep the limits that backend servers name.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

interface NamedLimit<Gateway> {
    readonly perSecond: number;
    /** When the first request came after the server had named it. */
    readonly namedAt: Milliseconds;
    /** When each gateway passed on the first answer that names the limit. */
    readonly toldAt: Map<Gateway, Milliseconds>;
    /** The times of the requests from gateways that had been told. */
    arrivals: Milliseconds[];
}

/** The limits in force and the requests that count towards them. */
export class ServerLimitOracle<Gateway> {
    private readonly limits = new Map<string, NamedLimit<Gateway>>();

    /**
     * @param requestLimitOf the limit that a server names now
     * @param isExcused whether a gateway had a fault a moment ago, so that its requests don't count
     */
    constructor(
        private readonly requestLimitOf: (server: string) => number | undefined,
        private readonly fail: (promise: PromiseName, detail: string) => void,
        private readonly isExcused: (gateway: Gateway) => boolean,
    ) {}

    /** Records that a gateway passed on an answer that names the server's limit. */
    recordTold(gateway: Gateway, server: string, now: Milliseconds): void {
        const toldAt = this.limits.get(server)?.toldAt;
        toldAt?.set(gateway, toldAt.get(gateway) ?? now);
    }

    /** Records a request that reached a server, and checks the limit that it named. */
    recordArrival(gateway: Gateway, server: string, now: Milliseconds): void {
        const limit = this.currentLimit(server, now);
        const toldAt = limit?.toldAt.get(gateway) ?? Infinity;
        if (limit === undefined || now < toldAt + platformLimits.serverLimitReaction || this.isExcused(gateway)) {
            return;
        }
        const { serverLimitWindow, serverLimitFactor, serverLimitSlack, serverLimitApply } = platformLimits;
        limit.arrivals = [...limit.arrivals, now].filter(at => at > now - serverLimitWindow);
        const allowed = serverLimitFactor * limit.perSecond * serverLimitWindow / 1_000 + serverLimitSlack;
        if (now >= limit.namedAt + serverLimitApply && limit.arrivals.length > allowed) {
            this.fail(
                "server_limit_kept",
                `${server} got ${limit.arrivals.length} requests with a limit of ${limit.perSecond} a second`,
            );
        }
    }

    private currentLimit(server: string, now: Milliseconds): NamedLimit<Gateway> | undefined {
        const perSecond = this.requestLimitOf(server);
        const known = this.limits.get(server);
        if (known?.perSecond === perSecond) {
            return known;
        }
        this.limits.delete(server);
        if (perSecond !== undefined) {
            this.limits.set(server, { perSecond, namedAt: now, toldAt: new Map(), arrivals: [] });
        }
        return this.limits.get(server);
    }
}
