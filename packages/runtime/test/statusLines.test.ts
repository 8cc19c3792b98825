/**
 * Answers of backend servers whose status line is not one of the protocol. They are no answers, whatever the rest of
 * their head says.
 */
import { decodeBackendHead } from "@verbenaspring/platform";
import { createBackendChannels } from "@verbenaspring/runtime";
import { createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createCall } from "./backendBuilders.js";

/** What a call reported, in order, with the status of what would be passed on. */
type Reports = readonly string[];

/** Sends calls one after the other to a server that answers each with `write`; returns their reports and its sockets. */
async function callServer(
    write: (socket: Socket) => void,
    calls = 1,
): Promise<{ readonly reports: readonly Reports[]; readonly socketCount: number; }> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => write(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    const reports: string[][] = [];
    let resolveCall = (): void => undefined;
    const report = (text: string, isLast: boolean): void => {
        reports.at(-1)?.push(text);
        if (isLast) {
            resolveCall();
        }
    };
    const channels = createBackendChannels({ encodeBackendCall: call => [...call.head.headers], decodeBackendHead }, {
        answered: (_, { status, body }) => report(`answered ${status} ${String(body)}`, true),
        opened: (_, { status }) => report(`opened ${status}`, false),
        events: (_, events) => report(`events ${events.length}`, false),
        ended: () => report("ended", true),
        failed: (_, failure, wasSent) => report(`${failure} ${wasSent ? "sent" : "not sent"}`, true),
    }, 64 * 1024 * 1024);
    for (let index = 0; index < calls; index++) {
        reports.push([]);
        await new Promise<void>(resolve => {
            resolveCall = resolve;
            channels.send(createCall(`127.0.0.1:${port}`, `a${index}`), Buffer.from("body"));
        });
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    channels.close();
    server.close();
    sockets.forEach(socket => socket.destroy());
    return { reports, socketCount: sockets.size };
}

const sealedHead = "Attempt-Id: c\r\nResponse-Seal: s\r\n";
const event = "id: 1\ndata: a\n\n";

/** Whole answers of each form that follow a status line. */
const answerForms: Readonly<Record<string, string>> = {
    plain: `${sealedHead}content-length: 2\r\n\r\nhi`,
    refused: `${sealedHead}Not-Executed: 1\r\ncontent-length: 0\r\n\r\n`,
    stream:
        `${sealedHead}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\nf\r\n${event}\r\n0\r\n\r\n`,
    unframed: `${sealedHead}connection: close\r\n\r\nhi`,
};

const malformedLines: readonly string[] = [
    ...["000", "001", "099", "100", "101", "600", "601", "700", "999"].map(status => `HTTP/1.1 ${status} Text`),
    ...["", "2", "20", "2000", "0200", "+20", "-20", " 200", "2 0", "2e2", "2x0", "٢٠٠"].map(status =>
        `HTTP/1.1 ${status} Text`
    ),
    ...["0.9", "2.0", "0.0", "1.2", "1.9", "3.0", "2", "1.10", "01.1"].map(version => `HTTP/${version} 200 Text`),
    "HTTP/1.1 200Text",
    "HTTP/1.1\t200 Text",
    "http/1.1 200 Text",
    "ICY 200 Text",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Text",
    "HTTP/1.1 102 Processing\r\nx: y\r\n\r\nHTTP/1.1 600 Text",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/2.0 200 Text",
];

for (const [form, rest] of Object.entries(answerForms)) {
    test(`an answer without a valid status line is malformed, and its channel is not used again: ${form}`, async () => {
        const write = (socket: Socket, line: string): void => {
            socket.write(`${line}\r\n${rest}`);
            if (form === "unframed") {
                socket.end();
            }
        };
        const faults: string[] = [];
        for (const line of malformedLines) {
            const { reports, socketCount } = await callServer(socket => write(socket, line), 2);
            if (reports.flat().join() !== "answer_malformed sent,answer_malformed sent" || socketCount !== 2) {
                faults.push(`${JSON.stringify(line)}: ${reports.flat().join()}, ${socketCount} channels`);
            }
        }
        assert.equal(faults, [], `${faults.length} of ${malformedLines.length}`);
    });
}

test("an answer without a valid status line on a channel that was used before is malformed", async () => {
    for (const line of ["HTTP/1.1 000 Text", "HTTP/1.1 600 Text", "HTTP/2.0 200 Text"]) {
        const lines = ["HTTP/1.1 200 Text", line];
        const { reports, socketCount } = await callServer(
            socket => void socket.write(`${lines.shift()}\r\n${answerForms.plain}`),
            2,
        );
        assert.equal(reports, [["answered 200 hi"], ["answer_malformed sent"]], line);
        assert.is(socketCount, 1);
    }
});

test("a status line is checked also where it comes byte by byte", async () => {
    const writeSlowly = (socket: Socket, text: string): void => {
        void (async () => {
            for (const byte of text) {
                socket.write(byte);
                await new Promise(resolve => setTimeout(resolve, 1));
            }
        })();
    };
    const callSlowly = async (head: string): Promise<Reports> =>
        (await callServer(socket => writeSlowly(socket.setNoDelay(true), `${head}\r\n${answerForms.plain}`)))
            .reports[0];
    assert.equal(await callSlowly("HTTP/1.1 600 Text"), ["answer_malformed sent"]);
    assert.equal(await callSlowly("HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/0.9 200 Text"), [
        "answer_malformed sent",
    ]);
    assert.equal(await callSlowly("HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 Text"), ["answered 200 hi"]);
});

test("statuses from 200 to 599 of HTTP/1.0 and HTTP/1.1 are answers, also after interim ones", async () => {
    const statuses = [200, 201, 299, 302, 399, 404, 421, 451, 499, 500, 503, 511, 599];
    for (
        const line of [
            "HTTP/1.1 ",
            "HTTP/1.0 ",
            "\r\nHTTP/1.1 ",
            "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 ",
        ]
    ) {
        for (const status of statuses) {
            const { reports } = await callServer(socket =>
                void socket.write(`${line}${status} Text\r\n${answerForms.plain}`)
            );
            assert.equal(reports, [[`answered ${status} hi`]]);
        }
    }
    const { reports, socketCount } = await callServer(
        socket => void socket.write(`HTTP/1.1 200\r\n${answerForms.stream}`),
        3,
    );
    assert.equal(reports, Array.from({ length: 3 }, () => ["opened 200", "events 1", "ended"]));
    assert.is(socketCount, 1);
});

// The caller got 204 with the seal, though the server had also sent a body.
test("an answer that says that it has no content and has a body is malformed", async () => {
    const line = "HTTP/1.1 204 No Content";
    const chunked = `${sealedHead}transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n`;
    const faults: string[] = [];
    for (const rest of [answerForms.plain, answerForms.stream, chunked]) {
        const { reports, socketCount } = await callServer(socket => void socket.write(`${line}\r\n${rest}`), 2);
        if (reports.flat().join() !== "answer_malformed sent,answer_malformed sent" || socketCount !== 2) {
            faults.push(`${reports.flat().join()}, ${socketCount} channels`);
        }
    }
    assert.equal(faults, []);
    for (const fields of ["", "content-length: 0\r\n"]) {
        const { reports, socketCount } = await callServer(
            socket => void socket.write(`${line}\r\n${sealedHead}${fields}\r\n`),
            2,
        );
        assert.equal(reports, [["answered 204 "], ["answered 204 "]]);
        assert.is(socketCount, 1);
    }
});

test.run();
