/**
 * Encodes link messages as frames of the schema and decodes them. A message has the fields of the schema's message of
 * the same name, so only the envelope is converted.
 */
import { create } from "@bufbuild/protobuf";
import type { EntryMessage, SidecarMessage, Tokens } from "@verbenaspring/coordination";
import { MalformedMessageError } from "@verbenaspring/model";
import { type LinkFrame, LinkFrameSchema, type LinkMessage, LinkMessageSchema } from "@verbenaspring/schema";

/** A message in either direction. */
export type AnyLinkMessage = EntryMessage | SidecarMessage;

/**
 * Encodes messages into one frame. Consecutive token messages of an attempt are merged into one.
 *
 * @example
 * const frame = encodeFrame([{ kind: "heartbeat" }]);
 */
export function encodeFrame(messages: readonly AnyLinkMessage[]): LinkFrame {
    return create(LinkFrameSchema, { messages: mergeTokens(messages).map(encodeMessage) });
}

function encodeMessage(message: AnyLinkMessage): LinkMessage {
    const { kind, ...fields } = message;
    const value = kind === "configuration" ? { snapshot: JSON.stringify(message.snapshot) } : fields;
    return create(LinkMessageSchema, { body: { case: kind, value } as never });
}

/** Decodes a frame. A message without a known body comes from a newer schema and is omitted. */
export function decodeFrame(frame: LinkFrame): AnyLinkMessage[] {
    return frame.messages.flatMap(({ body }) => {
        if (body.case === undefined) {
            return [];
        }
        if (body.case === "configuration") {
            return [{ kind: body.case, snapshot: parseSnapshot(body.value.snapshot) }];
        }
        return [{ kind: body.case, ...body.value } as unknown as AnyLinkMessage];
    });
}

function parseSnapshot(text: string): never {
    try {
        return JSON.parse(text) as never;
    }
    catch (error) {
        throw new MalformedMessageError("link", String(error));
    }
}

function mergeTokens(messages: readonly AnyLinkMessage[]): AnyLinkMessage[] {
    const merged: AnyLinkMessage[] = [];
    const lastTokensByAttempt = new Map<string, { readonly index: number; readonly tokens: Tokens; }>();
    for (const message of messages) {
        if (message.kind !== "tokens") {
            if ("attemptId" in message) {
                lastTokensByAttempt.delete(message.attemptId);
            }
            merged.push(message);
            continue;
        }
        const earlier = lastTokensByAttempt.get(message.attemptId);
        const continues = earlier !== undefined && earlier.tokens.from + earlier.tokens.texts.length === message.from;
        const tokens = continues ? { ...earlier.tokens, texts: [...earlier.tokens.texts, ...message.texts] } : message;
        const index = continues ? earlier.index : merged.length;
        merged[index] = tokens;
        lastTokensByAttempt.set(message.attemptId, { index, tokens });
    }
    return merged;
}
