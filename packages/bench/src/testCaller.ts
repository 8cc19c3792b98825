/**
 * A caller that streams a completion, and a check that each token belongs to its request and arrived once and in order.
 */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** A completion as its caller received it. Times are in milliseconds. */
export interface CompletionResult {
    readonly status: number;
    readonly tokens: readonly string[];
    /** The cursor that resumes the stream after the last token. */
    readonly cursor: string;
    readonly isComplete: boolean;
    /** Set where the request failed, or the stream ended in an error. */
    readonly failure:
        | { readonly type: string; readonly outcome: string; readonly retryAfter: number | undefined; }
        | undefined;
    /** Time from the request to the first event, comment or error response, and between each and the next. */
    readonly silentIntervals: readonly number[];
    readonly comments: readonly string[];
    /**
     * For each token after the first event, its equal share of the time from the event or comment before to its event.
     */
    readonly tokenIntervals: readonly number[];
    readonly timeToFirstToken: number | undefined;
    readonly duration: number;
}

/** A request for a streamed completion. */
export interface CompletionRequest {
    readonly address: string;
    readonly key: string;
    readonly model: string;
    readonly prompt: string;
    /** Resumes an earlier stream after this cursor. */
    readonly cursor?: string;
    readonly timeLimitSeconds?: number;
    readonly signal?: AbortSignal;
    /** Called after each chunk of the stream with everything that arrived so far. */
    readonly onToken?: (result: { readonly tokens: readonly string[]; readonly cursor: string; }) => void;
}

interface MutableCompletionResult {
    status: number;
    tokens: string[];
    cursor: string;
    isComplete: boolean;
    failure: CompletionResult["failure"];
    silentIntervals: number[];
    comments: string[];
    tokenIntervals: number[];
    timeToFirstToken: number | undefined;
    duration: number;
}

interface FailureBody {
    readonly error: { readonly type: string; readonly outcome: string; readonly retry_after_ms?: number; };
}

/**
 * Requests a streamed completion and reads it to its end. Failures are part of the result.
 *
 * @example
 * const result = await requestCompletion({ address, key, model: "reminder", prompt: "tag=a length=20" });
 */
export async function requestCompletion(completion: CompletionRequest): Promise<CompletionResult> {
    const started = performance.now();
    const result = emptyResult();
    let lastReceivedAt = started;
    const recordInterval = (): number => {
        const now = performance.now();
        result.silentIntervals.push(now - lastReceivedAt);
        lastReceivedAt = now;
        return now;
    };
    try {
        const response = await request(`http://${completion.address}/v1/completions`, {
            method: "POST",
            headers: createHeaders(completion),
            body: JSON.stringify({ model: completion.model, prompt: completion.prompt, stream: true }),
            signal: completion.signal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        result.status = response.statusCode;
        if (response.statusCode !== 200) {
            result.failure = parseFailure(await response.body.text());
            recordInterval();
        }
        else {
            await readStream(completion, result, response.body, started, recordInterval);
        }
    }
    catch (error) {
        result.failure ??= { type: "connection_broken", outcome: String(error), retryAfter: undefined };
    }
    result.duration = performance.now() - started;
    return result;
}

function emptyResult(): MutableCompletionResult {
    return {
        status: 0,
        tokens: [],
        cursor: "",
        isComplete: false,
        failure: undefined,
        silentIntervals: [],
        comments: [],
        tokenIntervals: [],
        timeToFirstToken: undefined,
        duration: 0,
    };
}

function createHeaders(completion: CompletionRequest): Record<string, string> {
    return {
        "content-type": "application/json",
        authorization: `Bearer ${completion.key}`,
        ...(completion.cursor === undefined ? {} : { "last-event-id": completion.cursor }),
        ...(completion.timeLimitSeconds === undefined
            ? {}
            : { "request-timeout": String(completion.timeLimitSeconds) }),
    };
}

async function readStream(
    completion: CompletionRequest,
    result: MutableCompletionResult,
    body: AsyncIterable<Buffer>,
    started: number,
    recordInterval: () => number,
): Promise<void> {
    const parser = createParser({
        onComment: comment => {
            recordInterval();
            result.comments.push(comment.trim());
        },
        onEvent: ({ id, event, data }) => {
            const now = recordInterval();
            if (event === "error") {
                result.failure = parseFailure(data);
            }
            else if (data === "[DONE]") {
                result.isComplete = true;
            }
            else {
                recordChunk(result, data, id, started, now);
                completion.onToken?.(result);
            }
        },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
        parser.feed(decoder.decode(chunk, { stream: true }));
    }
}

function recordChunk(
    result: MutableCompletionResult,
    data: string,
    id: string | undefined,
    started: number,
    now: number,
): void {
    const { choices } = JSON.parse(data) as { choices: { text: string; }[]; };
    const tokens = choices[0].text.split(" ").filter(token => token.length > 0);
    if (tokens.length === 0) {
        return;
    }
    if (result.timeToFirstToken === undefined) {
        result.timeToFirstToken = now - started;
    }
    else {
        const interval = result.silentIntervals.at(-1)! / tokens.length;
        tokens.forEach(() => result.tokenIntervals.push(interval));
    }
    result.tokens.push(...tokens);
    result.cursor = id ?? result.cursor;
}

function parseFailure(text: string): CompletionResult["failure"] {
    try {
        const { type, outcome, retry_after_ms: retryAfter } = (JSON.parse(text) as FailureBody).error;
        return { type, outcome, retryAfter };
    }
    catch {
        return { type: "unreadable", outcome: text, retryAfter: undefined };
    }
}

/**
 * Describes the first token of an answer that is not `tag:index`; undefined where all are right.
 *
 * @param from the index of the first token that was requested
 * @example
 * const mismatch = findTokenMismatch(result.tokens, "week-plan-7", 0);
 */
export function findTokenMismatch(tokens: readonly string[], tag: string, from: number): string | undefined {
    const mismatch = tokens.findIndex((token, index) => token !== `${tag}:${from + index}`);
    return mismatch === -1 ? undefined : `token ${from + mismatch} of ${tag} is ${tokens[mismatch]}`;
}
