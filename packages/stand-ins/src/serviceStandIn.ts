/**
 * Stands in for a plain service: a booking or slot application that counts how often each action ran.
 */
import type { ServerResponse } from "node:http";
import { pause, readJson, sendJson, type StandIn, startStandIn } from "./httpStandIn.js";

/** Faults of the service. */
export interface ServiceFaults {
    /** Milliseconds that an action takes. */
    delay: number;
    /** The action takes effect, and then the connection breaks. */
    loseAnswers: boolean;
}

/**
 * Starts a service. `POST /slots/confirm` and `POST /notes/delay` with `{ "booking": NAME }` run an action;
 * `GET /slots/NAME` looks one up; `GET /runs` gives how often each ran.
 *
 * @example
 * const service = await startServiceStandIn(0);
 */
export async function startServiceStandIn(port: number): Promise<StandIn> {
    const runs = new Map<string, number>();
    const faults: ServiceFaults = { delay: 10, loseAnswers: false };

    async function act(booking: string, response: ServerResponse): Promise<void> {
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
            return act(booking, response);
        }
        await pause(faults.delay);
        const booking = url.pathname.split("/").at(-1) ?? "";
        sendJson(response, 200, { booking, state: runs.has(booking) ? "confirmed" : "free" });
    });
}
