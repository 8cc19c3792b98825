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
    /** How often the others ended in which way: a status, the code of an error, or the time limit. */
    readonly failures: ReadonlyMap<string, number>;
    /** Milliseconds from each served request to the end of its answer, in ascending order. */
    readonly durations: readonly number[];
}

/** Requests at an interval. `stop` resolves once the last one has been answered or given up. */
export interface RequestSeries {
    readonly stop: () => Promise<RequestCounts>;
}

const okStatus = 200;
const ordinaryInterval = 100;
const ordinaryTimeout = 3_000;
const readinessInterval = 500;
/** The load balancer takes a gateway that does not answer within this time for one that is not ready. */
const readinessTimeout = 1_000;

/**
 * Sends an ordinary request every 100 ms, every second one on a connection of its own.
 *
 * @example
 * const requests = startOrdinaryRequests(world.addresses);
 * const { served, sent } = await requests.stop();
 */
export function startOrdinaryRequests({ callers }: AttackedAddresses): RequestSeries {
    const agent = new Agent({ keepAlive: true });
    let sent = 0;
    return startSeries(ordinaryInterval, () => {
        sent++;
        return findFailure(`http://${callers}${ordinaryPath}`, ordinaryTimeout, {
            agent: sent % 2 === 0 ? agent : undefined,
            headers: { host: hostileRoutesHost, "attempt-id": `ordinary${sent}`, "deadline-ms": `${ordinaryTimeout}` },
            body: `body of ordinary${sent}`,
        });
    }, () => agent.destroy());
}

/** Asks twice a second whether the gateway is ready, each time on a new connection. */
export function startReadinessChecks({ readiness }: AttackedAddresses): RequestSeries {
    return startSeries(readinessInterval, () => findReadinessFailure(readiness));
}

/** Whether a gateway answers in time that it is ready. */
export async function isReady(readinessAddress: string): Promise<boolean> {
    return await findReadinessFailure(readinessAddress) === undefined;
}

function findReadinessFailure(readinessAddress: string): Promise<string | undefined> {
    return findFailure(`http://${readinessAddress}/readyz`, readinessTimeout, { headers: {} });
}

function startSeries(
    interval: number,
    send: () => Promise<string | undefined>,
    finish: () => void = () => undefined,
): RequestSeries {
    const durations: number[] = [];
    const failures = new Map<string, number>();
    const open = new Set<Promise<void>>();
    let sent = 0;
    const timer = setInterval(() => {
        sent++;
        const startedAt = performance.now();
        const exchange = send().then(failure => {
            open.delete(exchange);
            if (failure === undefined) {
                durations.push(performance.now() - startedAt);
            }
            else {
                failures.set(failure, (failures.get(failure) ?? 0) + 1);
            }
        });
        open.add(exchange);
    }, interval);
    return {
        stop: async () => {
            clearInterval(timer);
            await Promise.all(open);
            finish();
            return { sent, served: durations.length, failures, durations: durations.sort((one, other) => one - other) };
        },
    };
}

interface RequestDetails {
    readonly agent?: Agent;
    readonly headers: Readonly<Record<string, string>>;
    /** With a body the method is POST, otherwise GET. */
    readonly body?: string;
}

/** Resolves to undefined if a request is answered with status 200 within a time in milliseconds, otherwise to what failed. */
function findFailure(
    url: string,
    timeout: number,
    { agent, headers, body }: RequestDetails,
): Promise<string | undefined> {
    return new Promise(resolve => {
        const method = body === undefined ? "GET" : "POST";
        const exchange = request(url, { agent, method, headers, signal: AbortSignal.timeout(timeout) }, response => {
            response.resume();
            response.once("close", () =>
                resolve(
                    response.complete && response.statusCode === okStatus
                        ? undefined
                        : `${response.statusCode}${response.complete ? "" : " cut"}`,
                ));
        });
        exchange.once("error", (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message));
        exchange.end(body);
    });
}
