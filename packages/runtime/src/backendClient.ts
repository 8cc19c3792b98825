/**
 * The sidecar's HTTP client for its backend server: generations at an engine, and calls of a plain service. It never
 * retries a call.
 */
import type { Work } from "@verbenaspring/coordination";
import { type AttemptId, type GenerationId, type Milliseconds, withCheckedAnswers } from "@verbenaspring/model";
import type { SidecarEvent } from "@verbenaspring/sidecar";
import { createParser } from "eventsource-parser";
import { Agent, buildConnector, type Dispatcher, request } from "undici";

/** The client of one backend server. */
export interface BackendClient {
    readonly start: (
        generationId: GenerationId,
        attemptId: AttemptId,
        work: Work,
        priority: number,
        traceparent: string,
    ) => void;
    /** Reads the generation's tokens again, from index `from` on. */
    readonly resume: (generationId: GenerationId, from: number) => void;
    readonly cancel: (generationId: GenerationId) => void;
    readonly callService: (
        generationId: GenerationId,
        attemptId: AttemptId,
        work: Work,
        timeLeft: Milliseconds,
        traceparent: string,
    ) => void;
    /** How many generations have a stream open. */
    readonly openStreamCount: () => number;
    /** Resolves to false if the backend server cannot be connected to. */
    readonly probe: () => Promise<boolean>;
}

/** Reports a call that failed with an error. */
export type ReportCallError = (generationId: GenerationId, error: unknown) => void;

interface TokenEvent {
    readonly from: number;
    readonly texts: readonly string[];
}

interface EndEvent {
    readonly count: number;
    readonly finish_reason: string;
}

const probeTimeout: Milliseconds = 2_000;
const connectTimeout: Milliseconds = 3_000;
const notFoundStatus = 404;

/**
 * Creates the client.
 *
 * @param push receives the events of generations and calls
 * @param reportError is called for every call that failed with an error
 * @example
 * const backend = createBackendClient("127.0.0.1:9000", channel.push, reportError);
 */
export function createBackendClient(
    address: string,
    push: (event: SidecarEvent) => void,
    reportError: ReportCallError,
): BackendClient {
    // No keep-alive: a request on a reused connection that the server closes meanwhile has an unknown outcome, while a
    // refused new connection has certainly run nothing.
    const agent = new Agent({
        pipelining: 0,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: withCheckedAnswers(buildConnector({ timeout: connectTimeout })),
    });
    const streams = new Map<GenerationId, AbortController>();
    const base = `http://${address}`;
    const generationUrl = (generationId: GenerationId): string => `${base}/v1/completions/${generationId}`;

    function openStream(generationId: GenerationId): AbortController {
        streams.get(generationId)?.abort();
        const abort = new AbortController();
        streams.set(generationId, abort);
        return abort;
    }

    /** Removes a stream that has ended, unless a newer one of the same generation has replaced it. */
    function closeStream(generationId: GenerationId, abort: AbortController): void {
        if (streams.get(generationId) === abort) {
            streams.delete(generationId);
        }
    }

    async function readStream(
        generationId: GenerationId,
        response: Dispatcher.ResponseData,
        signal: AbortSignal,
    ): Promise<void> {
        if (response.statusCode === notFoundStatus) {
            push({ kind: "generationLost", generationId });
            return;
        }
        const ended = await readEvents(generationId, response, push);
        if (!ended && !signal.aborted) {
            push({ kind: "generationBroken", generationId });
        }
    }

    async function runStream(
        generationId: GenerationId,
        open: (signal: AbortSignal) => Promise<Dispatcher.ResponseData>,
        connectErrorKind: "backendRefused" | "generationBroken",
    ): Promise<void> {
        const abort = openStream(generationId);
        const { signal } = abort;
        try {
            await readStream(generationId, await open(signal), signal);
        }
        catch (error) {
            if (!signal.aborted) {
                reportError(generationId, error);
                push({ kind: isConnectError(error) ? connectErrorKind : "generationBroken", generationId });
            }
        }
        finally {
            closeStream(generationId, abort);
        }
    }

    return {
        start: (generationId, attemptId, work, priority, traceparent) => {
            const fields = { ...JSON.parse(work.body) as object, request_id: generationId, priority, stream: true };
            const headers = { "content-type": "application/json", traceparent, "x-attempt-id": attemptId };
            const body = JSON.stringify(fields);
            const open = (signal: AbortSignal): Promise<Dispatcher.ResponseData> =>
                request(`${base}/v1/completions`, { method: "POST", headers, body, dispatcher: agent, signal });
            void runStream(generationId, open, "backendRefused");
        },
        resume: (generationId, from) => {
            const url = `${generationUrl(generationId)}?from=${from}`;
            void runStream(generationId, signal => request(url, { dispatcher: agent, signal }), "generationBroken");
        },
        cancel: generationId => {
            streams.get(generationId)?.abort();
            streams.delete(generationId);
            request(generationUrl(generationId), { method: "DELETE", dispatcher: agent })
                .then(response => response.body.dump())
                .catch(() => undefined);
        },
        callService: (generationId, attemptId, work, timeLeft, traceparent) =>
            void callService(agent, base, { generationId, attemptId, work, timeLeft, traceparent }, push, reportError),
        openStreamCount: () => streams.size,
        probe: async () => {
            try {
                await requestLoad(agent, base, probeTimeout);
                return true;
            }
            catch (error) {
                return !isConnectError(error);
            }
        },
    };
}

async function readEvents(
    generationId: GenerationId,
    response: Dispatcher.ResponseData,
    push: (event: SidecarEvent) => void,
): Promise<boolean> {
    let ended = false;
    const parser = createParser({
        onEvent: ({ event, data }) => {
            if (event === "preempted") {
                push({ kind: "generationPreempted", generationId });
                return;
            }
            if (event === "end") {
                const { count, finish_reason: finishReason } = JSON.parse(data) as EndEvent;
                ended = true;
                push({ kind: "generationEnded", generationId, count, finishReason });
                return;
            }
            push({ kind: "generationTokens", generationId, ...JSON.parse(data) as TokenEvent });
        },
    });
    const decoder = new TextDecoder();
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        parser.feed(decoder.decode(chunk, { stream: true }));
    }
    return ended;
}

interface ServiceCall {
    readonly generationId: GenerationId;
    readonly attemptId: AttemptId;
    readonly work: Work;
    readonly timeLeft: Milliseconds;
    readonly traceparent: string;
}

async function callService(
    agent: Agent,
    base: string,
    { generationId, attemptId, work, timeLeft, traceparent }: ServiceCall,
    push: (event: SidecarEvent) => void,
    reportError: ReportCallError,
): Promise<void> {
    const type = work.contentType === "" ? {} : { "content-type": work.contentType };
    const headers = { ...type, traceparent, "x-attempt-id": attemptId, "x-organisation": work.organisation };
    const hasBody = work.body !== "";
    try {
        const response = await request(`${base}${work.path}`, {
            method: work.method as Dispatcher.HttpMethod,
            headers,
            body: hasBody ? work.body : undefined,
            // Undici may send a call again that it considers idempotent.
            idempotent: false,
            dispatcher: agent,
            signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeLeft))),
        });
        const contentType = response.headers["content-type"];
        const body = await response.body.text();
        if (endsWithChannel(response) && !await answersRequests(agent, base, timeLeft)) {
            throw new UnansweredCheckError();
        }
        push({
            kind: "serviceResponded",
            generationId,
            status: response.statusCode,
            contentType: typeof contentType === "string" ? contentType : "",
            body,
        });
    }
    catch (error) {
        reportError(generationId, error);
        push({ kind: isConnectError(error) ? "backendRefused" : "serviceFailed", generationId });
    }
}

/** Whether only the end of the channel ends the body, as the kernel also does for a process that is killed. */
function endsWithChannel({ headers }: Dispatcher.ResponseData): boolean {
    return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}

/** Resolves once the server has answered a request, with any status. */
async function requestLoad(agent: Agent, base: string, timeout: Milliseconds): Promise<void> {
    const response = await request(`${base}/load`, { dispatcher: agent, signal: AbortSignal.timeout(timeout) });
    await response.body.dump();
}

/** Whether the server answers a request, with any status. A connection is also accepted where no server runs. */
async function answersRequests(agent: Agent, base: string, timeLeft: Milliseconds): Promise<boolean> {
    try {
        await requestLoad(agent, base, Math.max(1, Math.min(probeTimeout, Math.ceil(timeLeft))));
        return true;
    }
    catch {
        // All causes are alike to the caller, which reports the failed call.
        return false;
    }
}

class UnansweredCheckError extends Error {
    constructor() {
        super("the backend server answers no requests after an answer without a length, which may be a part");
    }
}

/** Whether no connection was established, so that nothing can have run. */
function isConnectError(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}
