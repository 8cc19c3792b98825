/**
 * Stand-in for a plain service: a booking service that counts how often each action ran.
 */
import type { ServerResponse } from "node:http";
import { pause, readJson, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";

/** Faults of the service. */
export interface ServiceFaults {
    /** Duration of an action in milliseconds. */
    delay: number;
    /** Actions take effect, but the connection breaks before the answer. */
    loseAnswers: boolean;
}

/**
 * Starts the service. `POST /slots/confirm` and `POST /notes/delay` with `{ "booking": NAME }` run an action.
 * `GET /slots/NAME` returns the state of a booking, `GET /runs` how often the action of each booking ran.
 *
 * @example
 * const service = await startServiceStandIn(0);
 */
export async function startServiceStandIn(port: number): Promise<StandIn> {
    const runs = new Map<string, number>();
    const faults: ServiceFaults = { delay: 10, loseAnswers: false };

    async function runAction(booking: string, response: ServerResponse): Promise<void> {
        runs.set(booking, (runs.get(booking) ?? 0) + 1);
        await pause(faults.delay);
        if (faults.loseAnswers) {
            response.destroy();
            return;
        }
        sendJson(response, 200, { booking, state: "confirmed", runs: runs.get(booking) });
    }

    return startStandIn(port, async (request, response, url) => {
        if (url.pathname === "/faults") {
            Object.assign(faults, await readJson<Partial<ServiceFaults>>(request));
            return sendJson(response, 200, faults);
        }
        if (url.pathname === "/runs") {
            return sendJson(response, 200, Object.fromEntries(runs));
        }
        if (request.method === "POST") {
            const { booking } = await readJson<{ booking: string; }>(request);
            return runAction(booking, response);
        }
        await pause(faults.delay);
        const booking = url.pathname.split("/").at(-1) ?? "";
        sendJson(response, 200, { booking, state: runs.has(booking) ? "confirmed" : "free" });
    });
}
