/**
 * Stand-in for the platform's list of live and leaving instances, whose readers see each change after a lag.
 */
import { readJson, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";

/** An instance in the list. */
export interface StandInInstance {
    readonly backend_server: string;
    readonly service: string;
    readonly failure_domain: string;
    readonly link_address: string;
    readonly state: "live" | "leaving";
}

/**
 * Starts the instance list. `PUT /instances` replaces it; readers see the new list after the lag.
 *
 * @param lag delay in milliseconds
 * @example
 * const list = await startInstanceListStandIn(0, 500);
 */
export async function startInstanceListStandIn(port: number, lag: number): Promise<StandIn> {
    let visibleInstances: readonly StandInInstance[] = [];
    return startStandIn(port, async (request, response) => {
        if (request.method === "PUT") {
            const { instances } = await readJson<{ instances: StandInInstance[]; }>(request);
            setTimeout(() => visibleInstances = instances, lag);
            return sendJson(response, 200, {});
        }
        sendJson(response, 200, { instances: visibleInstances });
    });
}
