/**
 * A caller that checks its answer: each token must be its own, in order and once.
 */
import { createParser } from "eventsource-parser";
import { request } from "undici";

/** What a caller saw. */
export interface CompletionResult {
    readonly status: number;
    readonly tokens: readonly string[];
    /** The cursor after the last token. */
    readonly cursor: string;
    readonly isComplete: boolean;
    /** The type and outcome of the failure, where the answer ended in one. */
    readonly failure:
        | { readonly type: string; readonly outcome: string; readonly retryAfter: number | undefined; }
        | undefined;
    /** Milliseconds without a token, a comment or a final word, each time one came. */
    readonly silentIntervals: readonly number[];
    readonly comments: readonly string[];
    /** Milliseconds between tokens, one for each token after the first. */
    readonly tokenIntervals: readonly number[];
    readonly timeToFirstToken: number | undefined;
    readonly duration: number;
}

/** What to ask. */
export interface CompletionRequest {
    readonly address: string;
    readonly key: string;
    readonly model: string;
    readonly prompt: string;
    readonly cursor?: string;
    readonly timeLimitSeconds?: number;
    readonly signal?: AbortSignal;
    readonly onToken?: (record: { readonly tokens: readonly string[]; readonly cursor: string; }) => void;
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
 * Asks for a streamed completion and follows it to its end.
 *
 * @example
 * const record = await askCompletion({ address, key, model: "reminder", prompt: "tag=a length=20" });
 */
export async function requestCompletion(ask: CompletionRequest): Promise<CompletionResult> {
    const started = performance.now();
    const record = emptyRecord();
    let lastHeard = started;
    const hear = (): number => {
        const now = performance.now();
        record.silentIntervals.push(now - lastHeard);
        lastHeard = now;
        return now;
    };
    try {
        const response = await request(`http://${ask.address}/v1/completions`, {
            method: "POST",
            headers: headersOf(ask),
            body: JSON.stringify({ model: ask.model, prompt: ask.prompt, stream: true }),
            signal: ask.signal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        record.status = response.statusCode;
        if (response.statusCode !== 200) {
            record.failure = failureOf(await response.body.text());
            hear();
        }
        else {
            await followStream(ask, record, response.body, started, hear);
        }
    }
    catch (error) {
        record.failure ??= { type: "connection_broken", outcome: String(error), retryAfter: undefined };
    }
    record.duration = performance.now() - started;
    return record;
}

function emptyRecord(): MutableCompletionResult {
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

function headersOf(ask: CompletionRequest): Record<string, string> {
    return {
        "content-type": "application/json",
        authorization: `Bearer ${ask.key}`,
        ...(ask.cursor === undefined ? {} : { "last-event-id": ask.cursor }),
        ...(ask.timeLimitSeconds === undefined ? {} : { "request-timeout": String(ask.timeLimitSeconds) }),
    };
}

async function followStream(
    ask: CompletionRequest,
    record: MutableCompletionResult,
    body: AsyncIterable<Buffer>,
    started: number,
    hear: () => number,
): Promise<void> {
    const parser = createParser({
        onComment: comment => {
            hear();
            record.comments.push(comment.trim());
        },
        onEvent: ({ id, event, data }) => {
            const now = hear();
            if (event === "error") {
                record.failure = failureOf(data);
            }
            else if (data === "[DONE]") {
                record.isComplete = true;
            }
            else {
                takeChunk(record, data, id, started, now);
                ask.onToken?.(record);
            }
        },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
        parser.feed(decoder.decode(chunk, { stream: true }));
    }
}

function takeChunk(
    record: MutableCompletionResult,
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
    if (record.timeToFirstToken === undefined) {
        record.timeToFirstToken = now - started;
    }
    else {
        const gap = record.silentIntervals.at(-1)! / tokens.length;
        tokens.forEach(() => record.tokenIntervals.push(gap));
    }
    record.tokens.push(...tokens);
    record.cursor = id ?? record.cursor;
}

function failureOf(text: string): CompletionResult["failure"] {
    try {
        const { type, outcome, retry_after_ms: retryAfter } = (JSON.parse(text) as FailureBody).error;
        return { type, outcome, retryAfter };
    }
    catch {
        return { type: "unreadable", outcome: text, retryAfter: undefined };
    }
}

/**
 * Says what is wrong with the tokens of an answer; undefined where nothing is.
 *
 * @param from the index of the first token that was asked for
 * @example
 * const fault = faultOf(record.tokens, "week-plan-7", 0);
 */
export function findTokenMismatch(tokens: readonly string[], tag: string, from: number): string | undefined {
    const wrong = tokens.findIndex((token, index) => token !== `${tag}:${from + index}`);
    return wrong === -1 ? undefined : `token ${from + wrong} of ${tag} is ${tokens[wrong]}`;
}
