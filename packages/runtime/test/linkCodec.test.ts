import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { decodeFrame, encodeFrame, formatPairs, parseCursor } from "@verbenaspring/runtime";
import { LinkFrameSchema } from "@verbenaspring/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";

type Message = Parameters<typeof encodeFrame>[0][number];

/** Encodes messages to a frame's bytes and decodes them. */
function sendOverWire(messages: readonly object[]): object[] {
    const bytes = toBinary(LinkFrameSchema, encodeFrame(messages as readonly Message[]));
    return decodeFrame(fromBinary(LinkFrameSchema, bytes)).map(withoutTypeName);
}

/** Removes the type name that the protobuf library adds to decoded messages. */
function withoutTypeName(message: Message): object {
    return Object.fromEntries(Object.entries(message).filter(([field]) => field !== "$typeName"));
}

const attemptId = "attempt";
const work = {
    organisation: "organisation",
    service: "service",
    workKind: "long",
    idempotent: true,
    weight: 1.5,
    promptTokens: 10,
    maximumTokens: 100,
    method: "POST",
    path: "/x",
    contentType: "text/plain",
    body: "body",
    traceparent: "",
};
const messages: readonly object[] = [
    { kind: "hello", entryIncarnation: "entry", linkNumber: 3, backendServer: "engine" },
    { kind: "run", ...work, attemptId, sidecarIncarnation: "sidecar", timeLeft: 1_234.5, from: 7, resent: true },
    { kind: "withdraw", attemptId },
    { kind: "cancel", attemptId, reason: "abandoned" },
    { kind: "acknowledge", attemptId, next: 9 },
    {
        kind: "resume",
        attemptId,
        sidecarIncarnation: "sidecar",
        generationId: "generation",
        organisation: "o",
        from: 2,
    },
    { kind: "configuration", snapshot: { through: 4, documents: [] } },
    { kind: "heartbeat" },
    { kind: "welcome", sidecarIncarnation: "sidecar", linkNumber: 3, leaving: true, configurationOffset: -1 },
    { kind: "queued", attemptId, reason: "engine_memory", ahead: 2, expected: 300 },
    { kind: "started", attemptId, generationId: "generation" },
    { kind: "notRun", attemptId, failureType: "leaving", retryAfter: 1_000 },
    { kind: "tokens", attemptId, generationId: "generation", from: 5, texts: ["a", "b"] },
    { kind: "end", attemptId, count: 7, finishReason: "stop" },
    { kind: "failed", attemptId, failureType: "generation_lost", outcome: "generation_lost" },
    { kind: "response", attemptId, status: 200, contentType: "text/plain", body: "ok" },
    {
        kind: "load",
        leaving: false,
        configurationOffset: 4,
        freeTokens: -3,
        queueLength: 1,
        expectedWait: 2,
        preemptions: 5,
    },
];

test("every message is decoded as it was encoded", () => {
    assert.equal(sendOverWire(messages), messages);
});

test("consecutive token messages of an attempt are merged into one", () => {
    const tokens = (from: number, ...texts: string[]) => ({
        kind: "tokens",
        attemptId,
        generationId: "g",
        from,
        texts,
    });
    assert.equal(sendOverWire([tokens(0, "a"), tokens(1, "b"), tokens(4, "e")]), [tokens(0, "a", "b"), tokens(4, "e")]);
});

test("tokens are not merged across the end of their answer", () => {
    const tokens = (from: number) => ({ kind: "tokens", attemptId, generationId: "g", from, texts: ["t"] });
    const end = { kind: "end", attemptId, count: 1, finishReason: "stop" };
    assert.equal(sendOverWire([tokens(0), end, tokens(1)]), [tokens(0), end, tokens(1)]);
});

test("line breaks and quotes in values are escaped, so that a log line stays one line", () => {
    assert.is(
        formatPairs({ event: "x", text: "two\nlines", none: undefined, count: 3 }),
        "event=x text=\"two\\nlines\" count=3",
    );
});

test("malformed cursors are rejected", () => {
    const cursor = `engine-1.${"a".repeat(32)}.${"b".repeat(32)}.12`;
    assert.is(parseCursor(cursor)?.next, 12);
    ["", "x", cursor.slice(1, -3), `${cursor}0000000000`, cursor.replace("a", "z")].forEach(text => {
        assert.is(parseCursor(text), undefined);
    });
});

test.run();
