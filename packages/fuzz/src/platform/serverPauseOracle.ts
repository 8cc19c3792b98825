/**
 * Checks that gateways keep the pauses that backend servers ask them for.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

interface Pause<Gateway> {
    readonly gateway: Gateway;
    readonly server: string;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    arrivals: number;
}

/** The pauses in force, and the requests that arrive in them. A gateway is one process. */
export class ServerPauseOracle<Gateway> {
    private pauses: Pause<Gateway>[] = [];

    /**
     * @param isExcused whether a gateway had a fault since a time, so that its requests don't count
     */
    constructor(
        private readonly fail: (promise: PromiseName, detail: string) => void,
        private readonly isExcused: (gateway: Gateway, since: Milliseconds) => boolean,
    ) {}

    /** Records that a server refused a request of a gateway and wants none from it for a time. */
    recordRefusal(gateway: Gateway, server: string, pause: Milliseconds, now: Milliseconds): void {
        const from = now + platformLimits.serverPauseReaction;
        this.pauses = this.pauses.filter(({ until }) => until > now);
        this.pauses.push({ gateway, server, from, until: now + pause, arrivals: 0 });
    }

    /** Forgets the pauses of a server whose new incarnation starts. */
    forgetServer(server: string): void {
        this.pauses = this.pauses.filter(pause => pause.server !== server);
    }

    /** Records a request that reached a server, and checks the pauses that it asked for. */
    recordArrival(gateway: Gateway, server: string, now: Milliseconds): void {
        for (const pause of this.pauses) {
            const isDuring = pause.from < now && now < pause.until;
            if (pause.gateway !== gateway || pause.server !== server || !isDuring) {
                continue;
            }
            pause.arrivals++;
            if (pause.arrivals > platformLimits.serverPauseSlack && !this.isExcused(gateway, pause.from)) {
                this.fail("server_pause_kept", `${server} got ${pause.arrivals} requests in a pause that it asked for`);
            }
        }
    }
}
