/**
 * Compares, byte by byte, the events of calls with what servers sent, under framings, splits and garbled answers drawn
 * from seeds.
 */
import type { StreamEvent } from "@verbenaspring/gateway";
import { type CallerAttemptId, identifier } from "@verbenaspring/model";
import { createBackendChannels } from "@verbenaspring/runtime";
import { createServer, type Socket } from "node:net";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall } from "./backendBuilders.js";

type Framing = "chunked" | "length" | "channel";
type End = "complete" | "closed" | "reset" | "extra" | "extraLate";

interface Outcome {
    readonly attempt: string | undefined;
    readonly text: string;
    readonly hasEnded: boolean;
}

const seeds = 120;
const lateDelay = 3;
const framings: readonly Framing[] = ["chunked", "length", "channel"];
const ends: readonly End[] = ["complete", "closed", "reset", "extra", "extraLate"];

/** A source of integers below a bound. */
function integers(seed: number): (bound: number) => number {
    const generator = xoroshiro128plus(seed);
    return bound => (generator.next() >>> 0) % bound;
}

/** The text of a stream whose events carry their run and number. Some have several tokens, or a version line first. */
function drawEvents(run: string, draw: (bound: number) => number): string[] {
    let id = 0;
    return Array.from({ length: 3 + draw(8) }, (_, index) => {
        id += 1 + draw(4);
        const version = draw(4) === 0 ? "weight-versions: 3\n" : "";
        const comment = draw(5) === 0 ? ": comment\n\n" : "";
        return `${comment}${version}id: ${id}\ndata: ${run} ${index}\n${draw(3) === 0 ? "data: id: 1\n" : ""}\n`;
    });
}

function frame(text: string, framing: Framing, draw: (bound: number) => number): string {
    if (framing !== "chunked") {
        return text;
    }
    const size = 1 + draw(40);
    const chunks = text.match(new RegExp(`[^]{1,${size}}`, "g")) ?? [];
    return chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join("");
}

function headOf(run: string, framing: Framing, length: number, closes = false): string {
    const fields = { chunked: "transfer-encoding: chunked", length: `content-length: ${length}`, channel: "x-none: 1" };
    const connection = closes ? "connection: close\r\n" : "";
    return `HTTP/1.1 200 OK\r\n${connection}Attempt-Id: ${run}\r\nContent-Type: text/event-stream\r\n${
        fields[framing]
    }\r\n\r\n`;
}

async function writeInPieces(socket: Socket, text: string, draw: (bound: number) => number): Promise<void> {
    for (let start = 0; start < text.length && !socket.destroyed;) {
        const end = start + 1 + draw(120);
        socket.write(text.slice(start, end));
        start = end;
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Late answers that a server still owes on a channel: they come before the next answer, or after a while. */
const owedAnswers = new WeakMap<Socket, string>();

function writeOwed(socket: Socket): void {
    socket.write(owedAnswers.get(socket) ?? "");
    owedAnswers.delete(socket);
}

/** Sends one stream in the drawn way. Returns what it would have been, and what was sent of it. */
function drawAnswer(run: string, draw: (bound: number) => number) {
    const framing = framings[draw(framings.length)];
    const end = ends[draw(ends.length)];
    const events = drawEvents(run, draw);
    const whole = events.join("");
    const isCut = end === "closed" || end === "reset";
    const cut = draw(2) === 0 ? whole.slice(0, draw(whole.length)) : events.slice(0, draw(events.length)).join("");
    const sent = isCut ? cut : whole;
    const last = framing === "chunked" && !isCut ? "0\r\n\r\n" : "";
    const bytes = headOf(run, framing, whole.length, draw(2) === 0) + frame(sent, framing, draw) + last;
    const other = headOf("other", "length", 15) + "id: 1\ndata: x\n\n";
    const send = async (socket: Socket): Promise<void> => {
        // After an answer that its channel ends, nothing can follow.
        const hasExtra = framing !== "channel" && (end === "extra" || end === "extraLate");
        writeOwed(socket);
        await writeInPieces(socket, bytes + (hasExtra && end === "extra" ? other : ""), draw);
        if (hasExtra && end === "extraLate") {
            owedAnswers.set(socket, other);
            setTimeout(() => writeOwed(socket), lateDelay);
        }
        if (end === "reset") {
            socket.resetAndDestroy();
        }
        else if (end === "closed" || framing === "channel") {
            socket.end();
        }
    };
    return { framing, end, isCut, whole, send };
}

test("callers get what one run sent, byte by byte, and no cut stream but an unframed one that closes in order ends", async () => {
    let answer: ReturnType<typeof drawAnswer>;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => void answer.send(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    // A failed check ends the test, and the process is to end with it.
    server.unref();
    const { port } = server.address() as { readonly port: number; };
    for (let seed = 1; seed <= seeds; seed++) {
        const draw = integers(seed);
        let settle: (outcome: Outcome) => void = () => undefined;
        let received = { attempt: undefined as string | undefined, text: "" };
        const finish = (hasEnded: boolean): void => settle({ ...received, hasEnded });
        const channels = createBackendChannels({
            encodeBackendCall: () => [],
            decodeBackendHead: (status, headers) => ({
                status,
                callerAttemptId: identifier<CallerAttemptId>(headers[headers.indexOf("Attempt-Id") + 1]),
                isSealed: true,
                isNotRun: false,
                isEncoded: false,
                requestLimit: undefined,
                isLeaving: false,
                retryAfter: undefined,
                isEventStream: true,
                endsWithChannel: headers.includes("x-none"),
                headers,
            }),
        }, {
            answered: () => finish(false),
            opened: (_, { callerAttemptId }) => received.attempt = callerAttemptId,
            events: (_, events: readonly StreamEvent[]) =>
                received.text += events.map(({ bytes }) => Buffer.from(bytes).toString()).join(""),
            ended: () => finish(true),
            failed: () => finish(false),
        }, 64 * 1024 * 1024);
        // The second call may get the channel of the first, and what comes late on it.
        for (const run of [`${seed}-a`, `${seed}-b`]) {
            answer = drawAnswer(run, draw);
            received = { attempt: undefined, text: "" };
            const call = createCall(`127.0.0.1:${port}`, run);
            const named = { ...call, head: { ...call.head, callerAttemptId: identifier<CallerAttemptId>(run) } };
            const outcome = await new Promise<Outcome>(resolve => {
                settle = resolve;
                channels.send(named, Buffer.from("body"));
            });
            const { framing, end, isCut, whole } = answer;
            const detail = `seed ${seed}, ${run}, ${framing}, ${end}: ${JSON.stringify(outcome)}`;
            if (outcome.attempt === run) {
                assert.ok(whole.startsWith(outcome.text), detail);
                const canLookComplete = framing === "channel" && end === "closed";
                assert.ok(!outcome.hasEnded || !isCut || canLookComplete, detail);
                assert.ok(!outcome.hasEnded || isCut || outcome.text === whole, detail);
            }
            else {
                assert.ok(outcome.attempt === undefined || outcome.attempt === "other", detail);
            }
            await new Promise(resolve => setTimeout(resolve, draw(2) * 2 * lateDelay));
        }
        channels.close();
    }
});

test.run();
