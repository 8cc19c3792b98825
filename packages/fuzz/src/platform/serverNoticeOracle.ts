/**
 * Checks that a gateway which passed on a backend server's notice that it leaves sends it no new requests.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

/** The notices that gateways passed on to callers. A gateway is one process: after a restart it is bound by none. */
export class ServerNoticeOracle<Gateway> {
    /** For each server, when each gateway first passed on a notice. */
    private readonly informedAt = new Map<string, Map<Gateway, Milliseconds>>();

    constructor(private readonly fail: (promise: PromiseName, detail: string) => void) {}

    /** Records that a gateway passed on an answer in which the server says that it leaves. */
    recordInformed(gateway: Gateway, server: string, now: Milliseconds): void {
        const gateways = this.informedAt.get(server) ?? new Map<Gateway, Milliseconds>();
        this.informedAt.set(server, gateways.set(gateway, gateways.get(gateway) ?? now));
    }

    /** Excuses a gateway that was frozen from the notices that it passed on before. */
    excuse(gateway: Gateway): void {
        this.informedAt.forEach(gateways => gateways.delete(gateway));
    }

    /** Forgets the notices of a server whose new incarnation starts. */
    forgetServer(server: string): void {
        this.informedAt.delete(server);
    }

    /** Checks a request that reached a server, by when its caller sent it. */
    checkArrival(gateway: Gateway, server: string, sentAt: Milliseconds): void {
        const informedAt = this.informedAt.get(server)?.get(gateway);
        if (informedAt !== undefined && sentAt > informedAt + platformLimits.drain) {
            const elapsed = Math.round(sentAt - informedAt);
            this.fail(
                "leaving_gets_no_new_work",
                `${server} got a request sent ${elapsed} ms after the gateway passed its notice on`,
            );
        }
    }
}
