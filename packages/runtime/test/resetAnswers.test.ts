/**
 * Answers of backend servers that have no length: they are complete at the orderly end of their channel, not at its reset.
 */
import type { AttemptId } from "@verbenaspring/model";
import { decodeBackendHead } from "@verbenaspring/platform";
import { createBackendChannels } from "@verbenaspring/runtime";
import { createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall } from "./backendBuilders.js";

const pause = (duration: number): Promise<void> => new Promise(resolve => setTimeout(resolve, duration));

const sealedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: c\r\nResponse-Seal: s\r\n";
const event = "id: 1\ndata: a\n\n";

/** Answers without a length, with the reports of a call that gets one of them whole. */
const answers = {
    plain: { text: `${sealedHead}\r\npart`, reports: ["answered 200 part"] },
    stream: {
        text: `${sealedHead}content-type: text/event-stream\r\n\r\n${event}`,
        reports: ["opened 200", "events 1", "ended"],
    },
};

/** What the server does with the channel after it has sent its answer. */
const ends: Readonly<Record<"reset" | "end" | "destroy", (socket: Socket) => void>> = {
    reset: socket => void socket.resetAndDestroy(),
    /** Reads the rest of the request, as a server does that wants its answer to arrive. */
    end: socket => void socket.resume().end(),
    /** A close, which the kernel turns into a reset if a part of the request is unread. */
    destroy: socket => void socket.destroy(),
};

interface Plan {
    readonly answer: string;
    readonly bodyBytes: number;
    readonly end: (socket: Socket) => void;
    /** The time between the answer, or its pause, and the end of its channel. */
    readonly delay: number;
    /** If it is given, the answer is paused after its first events; then its channel ends, or the call is cancelled. */
    readonly whilePaused?: "end" | "cancel";
}

/** How long an answer stays paused after the end of its channel. */
const pauseDuration = 40;

/** Sends a call to a server that answers as soon as a request begins; returns the reports of the call. */
async function callServer({ answer, bodyBytes, end, delay, whilePaused }: Plan): Promise<string[]> {
    const sockets: Socket[] = [];
    const endAnswer = (socket: Socket): unknown => delay === 0 ? end(socket) : setTimeout(end, delay, socket);
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            socket.write(answer, () => whilePaused === undefined && endAnswer(socket));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    const reports: string[] = [];
    let resolveCall = (): void => undefined;
    const finished = new Promise<void>(resolve => resolveCall = resolve);
    const report = (text: string, isLast: boolean): void => {
        reports.push(text);
        if (isLast) {
            resolveCall();
        }
    };
    const endPaused = (attemptId: AttemptId): void => {
        if (whilePaused === "cancel") {
            channels.cancel(attemptId);
            report("cancelled", true);
            return;
        }
        end(sockets[0]);
        setTimeout(() => channels.setPaused(attemptId, false), pauseDuration);
    };
    const channels = createBackendChannels({ encodeBackendCall: call => [...call.head.headers], decodeBackendHead }, {
        answered: (_, { status, body }) => report(`answered ${status} ${String(body)}`, true),
        opened: (_, { status }) => report(`opened ${status}`, false),
        events: (attemptId, events) => {
            report(`events ${events.length}`, false);
            if (whilePaused !== undefined) {
                channels.setPaused(attemptId, true);
                setTimeout(endPaused, delay, attemptId);
            }
        },
        ended: () => report("ended", true),
        failed: (_, failure) => report(failure, true),
    }, 256 * 1024 * 1024);
    channels.send(createCall(`127.0.0.1:${port}`), Buffer.alloc(bodyBytes, "x"));
    await finished;
    // A call has one outcome.
    await pause(5);
    channels.close();
    server.close();
    sockets.forEach(socket => socket.destroy());
    return reports;
}

/** Below what the channel takes at once, and above it, where a write is in progress at the end of the channel. */
const bodySizes = [10, 400_000, 12_000_000];

// Callers got the part that had arrived as a complete answer: where its bytes and the reset were found together, the end
// of the channel looked like an orderly one.
for (const [name, { text }] of Object.entries(answers)) {
    test(`a ${name} answer without a length whose channel is reset is not complete`, async () => {
        const faults: string[] = [];
        for (const bodyBytes of bodySizes) {
            for (const delay of [0, 0, 20]) {
                const reports = await callServer({ answer: text, bodyBytes, end: ends.reset, delay });
                if (!["answer_truncated", "channel_lost"].includes(reports.at(-1)!)) {
                    faults.push(`body of ${bodyBytes} bytes, reset after ${delay} ms: ${reports.join()}`);
                }
            }
        }
        assert.equal(faults, []);
    });
}

test("an answer without a length is not complete if its server closes the channel before it has read the request", async () => {
    for (const bodyBytes of [400_000, 12_000_000]) {
        const reports = await callServer({ answer: answers.plain.text, bodyBytes, end: ends.destroy, delay: 0 });
        assert.ok(["answer_truncated", "channel_lost"].includes(reports[0]), reports.join());
    }
});

for (const [name, { text, reports }] of Object.entries(answers)) {
    test(`a ${name} answer without a length is complete at the orderly end of its channel`, async () => {
        for (const bodyBytes of bodySizes) {
            for (const delay of [0, 20]) {
                assert.equal(await callServer({ answer: text, bodyBytes, end: ends.end, delay }), reports);
            }
        }
    });
}

// The HTTP client failed an assertion then, which ended the process: it can't end an answer that it doesn't read at present.
for (
    const [name, fields] of [["without a length", ""], ["that closes its channel", "connection: close\r\n"]] as const
) {
    const head = `${sealedHead}${fields}content-type: text/event-stream\r\n`;

    test(`a stream ${name} may end, be reset or be cancelled while it is not read`, async () => {
        const answer = `${head}\r\n${event}`;
        const plan = { answer, bodyBytes: 10, delay: 10, whilePaused: "end" } as const;
        assert.equal(await callServer({ ...plan, end: ends.end }), answers.stream.reports);
        const reports = await callServer({ ...plan, end: ends.reset });
        assert.is(reports.at(-1), "answer_truncated", reports.join());
        const cancelled = await callServer({ ...plan, end: ends.end, whilePaused: "cancel" });
        assert.equal(cancelled, ["opened 200", "events 1", "cancelled"]);
    });

    test(`a stream in chunks ${name} is cut if its channel ends in a chunk while it is not read`, async () => {
        const answer = `${head}transfer-encoding: chunked\r\n\r\nff\r\n${event}`;
        for (const end of [ends.end, ends.reset]) {
            const reports = await callServer({ answer, bodyBytes: 10, end, delay: 10, whilePaused: "end" });
            assert.equal(reports, ["opened 200", "events 1", "answer_truncated"]);
        }
    });
}

test.run();
