/**
 * Writes one caller's answer: server-sent events, a whole completion, or a plain response. Reports when the caller
 * reads more slowly than the answer is written.
 */
import type { Failure, RequestId } from "@verbenaspring/model";
import { failureStatus } from "@verbenaspring/model";
import type { ServerResponse } from "node:http";
import type { ParsedCall } from "./callParser.js";

/** Callbacks for the backpressure of a caller. */
export interface CallerAnswerHandlers {
    /** The socket's buffer is full. */
    readonly blocked: () => void;
    /** The buffer has been sent. */
    readonly drained: () => void;
}

const millisecondsPerSecond = 1_000;

/** The writer of one caller's answer. */
export class CallerAnswer {
    private isBlocked = false;

    constructor(
        private readonly requestId: RequestId,
        private readonly response: ServerResponse,
        private readonly parsed: ParsedCall,
        private readonly handlers: CallerAnswerHandlers,
    ) {
        response.on("drain", () => this.handleDrain());
    }

    /** Writes tokens as one event, whose id is the cursor after them. */
    writeTokens(cursor: string, texts: readonly string[]): void {
        this.writeStreamHead();
        const payload = JSON.stringify(this.createChunk(texts.join(""), null));
        this.write(`id: ${cursor}\ndata: ${payload}\n\n`);
    }

    /**
     * Shows the caller that its request waits: in a stream by a comment with the reason, otherwise by a 102 response.
     * Writes nothing while the caller does not read.
     */
    writeComment(reason: string, ahead: number, expected: number): void {
        if (this.isBlocked) {
            return;
        }
        if (!this.isStreamed()) {
            this.response.writeProcessing();
            return;
        }
        this.writeStreamHead();
        this.write(`: waiting reason=${reason} ahead=${ahead} expected_ms=${Math.round(expected)}\n\n`);
    }

    /** Ends a stream after all its tokens have been written. */
    endStream(finishReason: string): void {
        this.writeStreamHead();
        this.write(`data: ${JSON.stringify(this.createChunk("", finishReason))}\n\ndata: [DONE]\n\n`);
        this.response.end();
    }

    /** Writes a whole completion. */
    endWhole(texts: readonly string[], finishReason: string): void {
        const text = texts.join("");
        const message = { role: "assistant", content: text };
        const choice = this.parsed.isChat ? { message } : { text };
        const body = {
            id: this.requestId,
            object: this.parsed.isChat ? "chat.completion" : "text_completion",
            model: this.parsed.model,
            choices: [{ index: 0, ...choice, finish_reason: finishReason }],
            usage: { completion_tokens: texts.length },
        };
        this.endResponse(200, "application/json", JSON.stringify(body));
    }

    /** Writes the response of a plain service. */
    endResponse(status: number, contentType: string, body: string): void {
        this.response.writeHead(status, contentType === "" ? {} : { "content-type": contentType });
        this.response.end(body);
    }

    /** Writes a failure with its status, or as an event if the stream has begun. */
    endFailure(failure: Failure): void {
        const payload = formatFailure(this.requestId, failure);
        if (this.response.headersSent) {
            this.write(`event: error\ndata: ${payload}\n\n`);
            this.response.end();
            return;
        }
        const hasRetryAfter = failure.retryAfter !== undefined;
        const retryHeader = hasRetryAfter
            ? { "retry-after": String(Math.ceil(failure.retryAfter / millisecondsPerSecond)) }
            : {};
        this.response.writeHead(failureStatus[failure.type], { "content-type": "application/json", ...retryHeader });
        this.response.end(payload);
    }

    private isStreamed(): boolean {
        const { target } = this.parsed.call;
        return target.kind === "completion" && target.streamed;
    }

    private writeStreamHead(): void {
        if (this.response.headersSent) {
            return;
        }
        this.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
    }

    private createChunk(text: string, finishReason: string | null): object {
        const { isChat, model } = this.parsed;
        const choice = isChat ? { delta: text === "" ? {} : { content: text } } : { text };
        return {
            id: this.requestId,
            object: isChat ? "chat.completion.chunk" : "text_completion",
            model,
            choices: [{ index: 0, ...choice, finish_reason: finishReason }],
        };
    }

    private write(text: string): void {
        if (this.response.write(text) || this.isBlocked) {
            return;
        }
        this.isBlocked = true;
        this.handlers.blocked();
    }

    private handleDrain(): void {
        if (this.isBlocked) {
            this.isBlocked = false;
            this.handlers.drained();
        }
    }
}

/** Formats a failure as the JSON that callers receive. */
export function formatFailure(requestId: RequestId, failure: Failure): string {
    const { type, message, outcome, retryAfter } = failure;
    return JSON.stringify({ error: { type, message, outcome, request_id: requestId, retry_after_ms: retryAfter } });
}
