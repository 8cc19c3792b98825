/**
 * The load balancer before the gateways, whatever their failure domains: it takes a gateway out of rotation after two
 * checks in a row without a 200, and puts it back after one. It applies to new connections only.
 */

/** How many checks in a row without a 200 take a gateway out of rotation. */
const missesUntilOut = 2;

/** Decides to which gateways callers may open new connections. */
export class SoakBalancer<Gateway> {
    /** The gateways that have been ready, with the number of checks since then. */
    private readonly misses = new Map<Gateway, number>();

    /** Records the outcome of a check of readiness. */
    recordCheck(gateway: Gateway, isReady: boolean): void {
        const misses = this.misses.get(gateway);
        if (isReady) {
            this.misses.set(gateway, 0);
        }
        else if (misses !== undefined) {
            this.misses.set(gateway, misses + 1);
        }
    }

    /** The gateways that get new connections: those in rotation or, if these are fewer than half, all. */
    available(gateways: readonly Gateway[]): readonly Gateway[] {
        const inRotation = gateways.filter(gateway => (this.misses.get(gateway) ?? missesUntilOut) < missesUntilOut);
        return 2 * inRotation.length < gateways.length ? gateways : inRotation;
    }
}
