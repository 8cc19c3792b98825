/**
 * Ordinary requests and readiness checks at a fixed interval, beside an attack.
 */
import { Agent, request } from "node:http";
import { type AttackedAddresses, hostileRoutesHost, ordinaryPath } from "./hostileTargets.js";

/** What happened to requests that were sent at an interval. */
export interface RequestCounts {
    readonly sent: number;
    /** Requests that were answered with status 200 in time. */
    readonly served: number;
    /** Milliseconds from each served request to the end of its answer, in ascending order. */
    readonly durations: readonly number[];
}

/** Requests at an interval. `stop` resolves once the last one has been answered or given up. */
export interface RequestSeries {
    readonly stop: () => Promise<RequestCounts>;
}

const ordinaryInterval = 100;
const ordinaryTimeout = 3_000;
const readinessInterval = 500;
/** The load balancer takes a gateway that does not answer within this time for one that is not ready. */
const readinessTimeout = 1_000;

/** Sends an ordinary request every 100 ms, every second one on a connection of its own. */
export function startOrdinaryRequests({ callers }: AttackedAddresses): RequestSeries {
    const agent = new Agent({ keepAlive: true });
    let sent = 0;
    return startSeries(ordinaryInterval, () => {
        sent++;
        return isAnswered(`http://${callers}${ordinaryPath}`, ordinaryTimeout, {
            agent: sent % 2 === 0 ? agent : undefined,
            headers: { host: hostileRoutesHost, "attempt-id": `ordinary${sent}`, "deadline-ms": `${ordinaryTimeout}` },
            body: `body of ordinary${sent}`,
        });
    }, () => agent.destroy());
}

/** Asks twice a second whether the gateway is ready, each time on a new connection. */
export function startReadinessChecks({ readiness }: AttackedAddresses): RequestSeries {
    return startSeries(readinessInterval, () => isReady(readiness));
}

/** Whether a gateway answers in time that it is ready. */
export function isReady(readinessAddress: string): Promise<boolean> {
    return isAnswered(`http://${readinessAddress}/readyz`, readinessTimeout, { headers: {} });
}

function startSeries(
    interval: number,
    send: () => Promise<boolean>,
    finish: () => void = () => undefined,
): RequestSeries {
    const durations: number[] = [];
    const open = new Set<Promise<void>>();
    let sent = 0;
    const timer = setInterval(() => {
        sent++;
        const startedAt = performance.now();
        const exchange = send().then(isServed => {
            open.delete(exchange);
            if (isServed) {
                durations.push(performance.now() - startedAt);
            }
        });
        open.add(exchange);
    }, interval);
    return {
        stop: async () => {
            clearInterval(timer);
            await Promise.all(open);
            finish();
            return { sent, served: durations.length, durations: durations.sort((one, other) => one - other) };
        },
    };
}

interface RequestDetails {
    readonly agent?: Agent;
    readonly headers: Readonly<Record<string, string>>;
    /** With a body the method is POST, otherwise GET. */
    readonly body?: string;
}

/** Whether a request is answered with status 200 within a time in milliseconds. */
function isAnswered(url: string, timeout: number, { agent, headers, body }: RequestDetails): Promise<boolean> {
    return new Promise(resolve => {
        const method = body === undefined ? "GET" : "POST";
        const exchange = request(url, { agent, method, headers, signal: AbortSignal.timeout(timeout) }, response => {
            response.resume();
            response.once("close", () => resolve(response.complete && response.statusCode === 200));
        });
        exchange.once("error", () => resolve(false));
        exchange.end(body);
    });
}
