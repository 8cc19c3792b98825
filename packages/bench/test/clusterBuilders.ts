/**
 * Starts clusters for the tests with real processes, and sends requests to them.
 */
import {
    type CompletionRequest,
    type CompletionResult,
    createDocuments,
    type EntryProcess,
    organisations,
    ProcessCluster,
    requestCompletion,
    userDocuments,
} from "@verbenaspring/bench";
import { request } from "undici";

/** The bearer key of the first organisation. */
export const key = organisations[0].key;

/** Starts two entries, two assistant engines and one booking service, with every document of the users. */
export async function startSmallCluster(
    options: { readonly sidecarSettings?: object; readonly entrySettings?: object; } = {},
): Promise<ProcessCluster> {
    const cluster = await ProcessCluster.start({
        entries: 2,
        engines: ["assistant", "assistant"],
        plainServers: ["booking"],
        ...options,
    });
    await createDocuments(cluster, userDocuments());
    return cluster;
}

/** Requests a streamed week plan. */
export function requestPlan(
    entry: EntryProcess,
    tag: string,
    length: number,
    overrides: Partial<CompletionRequest> = {},
): Promise<CompletionResult> {
    const prompt = `tag=${tag} length=${length}`;
    return requestCompletion({ address: entry.callerAddress, key, model: "week-plan", prompt, ...overrides });
}

/** The response to a call of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly body: {
        readonly error?: { readonly type: string; readonly outcome: string; };
        readonly booking?: string;
        readonly runs?: number;
    };
    readonly retryAfter: string | undefined;
}

/** Confirms a booking, with an idempotency key where one is given. */
export async function confirm(entry: EntryProcess, booking: string, idempotencyKey?: string): Promise<ServiceResponse> {
    const response = await request(`http://${entry.callerAddress}/services/booking/slots/confirm`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
            ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
        },
        body: JSON.stringify({ booking }),
    });
    const body = await response.body.json() as ServiceResponse["body"];
    const retryAfter = response.headers["retry-after"];
    return { status: response.statusCode, body, retryAfter: typeof retryAfter === "string" ? retryAfter : undefined };
}

/** Returns how often the booking service ran the confirmation of a booking. */
export async function countRuns(cluster: ProcessCluster, booking: string): Promise<number> {
    let runs = 0;
    for (const backend of cluster.backends.filter(each => each.service === "booking")) {
        const response = await request(`http://${backend.backendAddress}/runs`);
        runs += (await response.body.json() as Record<string, number>)[booking] ?? 0;
    }
    return runs;
}

/** Creates a promise that `fire` resolves. */
export function createSignal(): { readonly done: Promise<void>; readonly fire: () => void; } {
    let fire: () => void = () => undefined;
    const done = new Promise<void>(resolve => fire = resolve);
    return { done, fire };
}
