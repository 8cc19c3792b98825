/**
 * Stands in for the platform's list of live and leaving instances, which lags.
 */
import { readJson, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";

/** One instance of the list. */
export interface StandInInstance {
    readonly backend_server: string;
    readonly service: string;
    readonly failure_domain: string;
    readonly link_address: string;
    readonly state: "live" | "leaving";
}

/**
 * Starts a list. `PUT /instances` replaces it; readers see that after the lag.
 *
 * @param lag milliseconds
 * @example
 * const list = await startInstanceListStandIn(0, 500);
 */
export async function startInstanceListStandIn(port: number, lag: number): Promise<StandIn> {
    let shown: readonly StandInInstance[] = [];
    return startStandIn(port, async (request, response) => {
        if (request.method === "PUT") {
            const { instances } = await readJson<{ instances: StandInInstance[]; }>(request);
            setTimeout(() => shown = instances, lag);
            return sendJson(response, 200, {});
        }
        sendJson(response, 200, { instances: shown });
    });
}
