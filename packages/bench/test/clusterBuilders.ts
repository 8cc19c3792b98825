/**
 * Builders for tests with real processes.
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

/** Asks for a streamed week plan. */
export function askPlan(
    entry: EntryProcess,
    tag: string,
    length: number,
    more: Partial<CompletionRequest> = {},
): Promise<CompletionResult> {
    const prompt = `tag=${tag} length=${length}`;
    return requestCompletion({ address: entry.callerAddress, key, model: "week-plan", prompt, ...more });
}

/** What a service call gave. */
export interface ServiceAnswer {
    readonly status: number;
    readonly body: {
        readonly error?: { readonly type: string; readonly outcome: string; };
        readonly booking?: string;
        readonly runs?: number;
    };
    readonly retryAfter: string | undefined;
}

/** Confirms a booking, under a key where one is given. */
export async function confirm(entry: EntryProcess, booking: string, idempotencyKey?: string): Promise<ServiceAnswer> {
    const response = await request(`http://${entry.callerAddress}/services/booking/slots/confirm`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
            ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
        },
        body: JSON.stringify({ booking }),
    });
    const body = await response.body.json() as ServiceAnswer["body"];
    const retryAfter = response.headers["retry-after"];
    return { status: response.statusCode, body, retryAfter: typeof retryAfter === "string" ? retryAfter : undefined };
}

/** How often the booking service ran a booking. */
export async function runsOf(cluster: ProcessCluster, booking: string): Promise<number> {
    let runs = 0;
    for (const backend of cluster.backends.filter(each => each.service === "booking")) {
        const response = await request(`http://${backend.backendAddress}/runs`);
        runs += (await response.body.json() as Record<string, number>)[booking] ?? 0;
    }
    return runs;
}

/** A promise with its handle outside. */
export function createSignal(): { readonly done: Promise<void>; readonly fire: () => void; } {
    let fire: () => void = () => undefined;
    const done = new Promise<void>(resolve => fire = resolve);
    return { done, fire };
}
