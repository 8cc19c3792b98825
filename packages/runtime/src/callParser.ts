/**
 * Parses a caller's HTTP request into a call, or into the failure that describes what is wrong with it.
 */
import type { Call, CallTarget } from "@verbenaspring/entry";
import { type Failure, failure, identifier } from "@verbenaspring/model";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { z } from "zod";
import { parseCursor } from "./cursor.js";

/** A parsed call, with the properties on which the format of the answer depends. */
export interface ParsedCall {
    readonly call: Call;
    readonly isChat: boolean;
    readonly model: string;
}

const charactersPerToken = 4;
const defaultMaximumTokens = 32_768;
const millisecondsPerSecond = 1_000;
const servicePath = /^\/services\/([a-zA-Z0-9][a-zA-Z0-9._-]{0,62})(\/.*)$/;

const commonFields = {
    model: z.string().min(1),
    stream: z.boolean().default(false),
    max_tokens: z.number().int().min(1).max(1_048_576).default(defaultMaximumTokens),
};
const completionSchema = z.object({ ...commonFields, prompt: z.string() });
const messageSchema = z.object({ role: z.string(), content: z.string() });
const chatSchema = z.object({ ...commonFields, messages: z.array(messageSchema).min(1) });

/** Returns the SHA-256 digest of a text in lower-case hexadecimal. */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/**
 * Parses a request whose body has been read.
 *
 * @example
 * const parsed = parseCall(request, body);
 */
export function parseCall(request: IncomingMessage, body: string): ParsedCall | Failure {
    const path = request.url ?? "/";
    const method = request.method ?? "GET";
    const isChat = path === "/v1/chat/completions";
    if (isChat || path === "/v1/completions") {
        return method === "POST"
            ? parseCompletion(request, body, isChat)
            : malformedRequest(`${path} takes POST, not ${method}`);
    }
    const service = servicePath.exec(path);
    if (service === null) {
        return failure("not_found", `nothing is served at ${path}`, "not_run");
    }
    const target: CallTarget = { kind: "service", service: identifier(service[1]), method, path: service[2] };
    return createParsedCall(request, target, body, `${method} ${path}\n${body}`, false, service[1]);
}

function parseCompletion(request: IncomingMessage, body: string, isChat: boolean): ParsedCall | Failure {
    const json = parseJson(body);
    if (json === undefined) {
        return malformedRequest("the body is not JSON");
    }
    const parsed = (isChat ? chatSchema : completionSchema).safeParse(json);
    if (!parsed.success) {
        const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
        return malformedRequest(problems.join("; "));
    }
    const { model, stream, max_tokens: maximumTokens } = parsed.data;
    const prompt = "prompt" in parsed.data ? parsed.data.prompt : joinMessages(parsed.data.messages);
    const target: CallTarget = {
        kind: "completion",
        route: identifier(model),
        streamed: stream,
        promptTokens: Math.ceil(prompt.length / charactersPerToken),
        maximumTokens,
    };
    const engineBody = JSON.stringify({ prompt, max_tokens: maximumTokens });
    return createParsedCall(request, target, engineBody, body, isChat, model);
}

function joinMessages(messages: readonly z.infer<typeof messageSchema>[]): string {
    return messages.map(message => `${message.role}: ${message.content}`).join("\n");
}

function createParsedCall(
    request: IncomingMessage,
    target: CallTarget,
    body: string,
    idempotentContent: string,
    isChat: boolean,
    model: string,
): ParsedCall | Failure {
    const cursorText = getHeader(request, "last-event-id");
    const cursor = parseCursor(cursorText);
    if (cursorText !== "" && (cursor === undefined || target.kind !== "completion" || !target.streamed)) {
        return failure("cursor_invalid", "Last-Event-ID names no streamed answer", "not_run");
    }
    const timeText = getHeader(request, "request-timeout");
    const seconds = Number(timeText);
    if (timeText !== "" && !(seconds > 0)) {
        return malformedRequest("Request-Timeout takes a number of seconds above 0");
    }
    const key = getHeader(request, "idempotency-key");
    const bearerMatch = /^Bearer (\S+)$/.exec(getHeader(request, "authorization"));
    const call: Call = {
        bearerDigest: bearerMatch === null ? "" : sha256Hex(bearerMatch[1]),
        target,
        contentType: getHeader(request, "content-type"),
        body,
        idempotency: key === ""
            ? undefined
            : { keyDigest: sha256Hex(key), requestDigest: sha256Hex(idempotentContent) },
        cursor,
        timeLimit: timeText === "" ? undefined : seconds * millisecondsPerSecond,
        traceparent: getHeader(request, "traceparent"),
    };
    return { call, isChat, model };
}

function getHeader(request: IncomingMessage, name: string): string {
    const value = request.headers[name];
    return typeof value === "string" ? value : "";
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

function malformedRequest(message: string): Failure {
    return failure("malformed_request", message, "not_run");
}
