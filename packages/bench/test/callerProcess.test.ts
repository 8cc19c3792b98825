/**
 * The system as real processes without faults, as callers and operators see it.
 */
import { findTokenMismatch, type ProcessCluster, waitUntil } from "@verbenaspring/bench";
import { connect } from "node:net";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { confirm, countRuns, createSignal, key, requestPlan, startSmallCluster } from "./clusterBuilders.js";
import { TraceCollector } from "./traceCollector.js";

const test = suite<{ cluster: ProcessCluster; }>("callers");

const collector = new TraceCollector();

test.before(async context => {
    const observation = { traceAddress: await collector.listen() };
    try {
        context.cluster = await startSmallCluster({ entrySettings: { observation }, sidecarSettings: { observation } });
    }
    catch (error) {
        // uvu drops the errors of this hook.
        process.stderr.write(`the cluster did not start: ${String(error)}\n`);
        throw error;
    }
});
test.after(async context => {
    await context.cluster.stop();
    collector.close();
});

async function post(address: string, path: string, body: string, headers: Record<string, string> = {}) {
    const response = await request(`http://${address}${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, ...headers },
        body,
    });
    const text = await response.body.text();
    return {
        status: response.statusCode,
        type: (JSON.parse(text) as { error?: { type: string; }; }).error?.type,
        text,
    };
}

test("a streamed answer arrives in full through either entry", async ({ cluster }) => {
    for (const entry of cluster.entries) {
        const completion = await requestPlan(entry, "plan", 40);
        assert.ok(completion.isComplete);
        assert.is(completion.tokens.length, 40);
        assert.is(findTokenMismatch(completion.tokens, "plan", 0), undefined);
    }
});

test("an answer that is not streamed and a chat answer have the format of the OpenAI API", async ({ cluster }) => {
    const [{ callerAddress }] = cluster.entries;
    const unstreamed = await post(
        callerAddress,
        "/v1/completions",
        JSON.stringify({ model: "reminder", prompt: "tag=a length=3" }),
    );
    assert.is((JSON.parse(unstreamed.text) as { choices: { text: string; }[]; }).choices[0].text, "a:0 a:1 a:2 ");
    const messages = [{ role: "user", content: "tag=b length=2" }];
    const chat = await post(callerAddress, "/v1/chat/completions", JSON.stringify({ model: "reminder", messages }));
    const choice = (JSON.parse(chat.text) as { choices: { message: { content: string; }; }[]; }).choices[0];
    assert.is(choice.message.content, "b:0 b:1 ");
});

test("a caller that lost its connection resumes at the next token through the other entry", async ({ cluster }) => {
    const [first, second] = cluster.entries;
    const abort = new AbortController();
    const firstPart = createSignal();
    const received = { tokens: [] as string[], cursor: "" };
    const interrupted = requestPlan(first, "resumed", 200, {
        signal: abort.signal,
        onToken: ({ tokens, cursor }) => {
            if (tokens.length >= 20 && received.cursor === "") {
                Object.assign(received, { tokens: [...tokens], cursor });
                firstPart.fire();
            }
        },
    });
    await firstPart.done;
    abort.abort();
    await interrupted;
    const resumed = await requestPlan(second, "resumed", 200, { cursor: received.cursor });
    assert.ok(resumed.isComplete, JSON.stringify(resumed.failure));
    assert.is(findTokenMismatch([...received.tokens, ...resumed.tokens], "resumed", 0), undefined);
    assert.is(received.tokens.length + resumed.tokens.length, 200);
});

test("another organisation can't resume an answer", async ({ cluster }) => {
    const completion = await requestPlan(cluster.entries[0], "own", 20);
    const foreign = await requestPlan(cluster.entries[0], "own", 20, {
        cursor: completion.cursor,
        key: "key-of-haulage-shops",
    });
    assert.is(foreign.failure?.type, "generation_not_found");
});

test("a keyed confirmation that is repeated through the other entry gets the first one's answer", async ({ cluster }) => {
    const first = await confirm(cluster.entries[0], "booking-1", "key-1");
    assert.is(first.status, 200);
    await waitUntil("the answer is known at the other entry", async () => {
        const again = await confirm(cluster.entries[1], "booking-1", "key-1");
        return again.status === 200;
    });
    assert.is(await countRuns(cluster, "booking-1"), 1);
    const reused = await confirm(cluster.entries[1], "booking-other", "key-1");
    assert.is(reused.body.error?.type, "key_reused");
    assert.is(await countRuns(cluster, "booking-other"), 0);
});

test("invalid input gets an error with a type, and the entry keeps serving", async ({ cluster }) => {
    const [{ callerAddress }] = cluster.entries;
    const completionBody = JSON.stringify({ model: "week-plan", prompt: "length=1" });
    const cases = [
        { path: "/v1/completions", body: "{", status: 400, type: "malformed_request" },
        { path: "/v1/completions", body: "{\"model\":1}", status: 400, type: "malformed_request" },
        {
            path: "/v1/completions",
            body: completionBody.replace("week-plan", "none"),
            status: 404,
            type: "route_not_found",
        },
        { path: "/services/none/x", body: "", status: 404, type: "service_not_found" },
        { path: "/nowhere", body: "", status: 404, type: "not_found" },
        { path: "/v1/completions", body: `"${"x".repeat(1_100_000)}"`, status: 413, type: "body_too_large" },
    ];
    for (const { path, body, status, type } of cases) {
        const answer = await post(callerAddress, path, body);
        assert.equal([answer.status, answer.type], [status, type], path);
    }
    const wrongKey = await post(callerAddress, "/v1/completions", completionBody, { authorization: "Bearer wrong" });
    assert.equal([wrongKey.status, wrongKey.type], [401, "unauthenticated"]);
    const badCursor = await post(callerAddress, "/v1/completions", completionBody, { "last-event-id": "x" });
    assert.equal([badCursor.status, badCursor.type], [400, "cursor_invalid"]);
    assert.match(await floodHeaders(callerAddress), /^HTTP\/1.1 431[^]*malformed_request/);
    assert.ok((await requestPlan(cluster.entries[0], "after", 5)).isComplete);
});

function floodHeaders(address: string): Promise<string> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect(Number(port), host);
        socket.on("error", () => undefined);
        socket.once("data", chunk => {
            resolve(chunk.toString());
            socket.destroy();
        });
        socket.write(`GET /live HTTP/1.1\r\nhost: x\r\n${"a: ".padEnd(1_000, "b").concat("\r\n").repeat(40)}\r\n`);
    });
}

test("a caller that doesn't read its stream delays no other caller", async ({ cluster }) => {
    const [entry] = cluster.entries;
    const [host, port] = entry.callerAddress.split(":");
    const body = JSON.stringify({ model: "week-plan", prompt: "tag=idle length=5000", stream: true });
    const idle = connect(Number(port), host);
    idle.pause();
    idle.write(
        `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
    const completion = await requestPlan(entry, "reader", 60);
    idle.destroy();
    assert.ok(completion.isComplete);
});

test("of two concurrent changes of a document through two entries one is refused as a conflict, and both entries list the same", async ({ cluster }) => {
    const document = JSON.stringify({ name: "raced", service: "assistant" });
    const put = (index: number) =>
        cluster.runVerbenactl(["put", "route", "-", "--expect", "-1"], document, cluster.entries[index]);
    const codes = (await Promise.all([put(0), put(1)])).map(result => result.code);
    assert.equal(codes.sort(), [0, 3]);
    const list = async (index: number) =>
        (await cluster.runVerbenactl(["list", "route", "--json"], "", cluster.entries[index])).output;
    await waitUntil("both entries list the same", async () => await list(0) === await list(1));
});

test("a drained backend server takes no new work until it is restored", async ({ cluster }) => {
    const [engine] = cluster.backends;
    const leaving = async (): Promise<boolean> => {
        const { output } = await cluster.runVerbenactl(["revision", "--json"]);
        const { sidecars } = JSON.parse(output) as { sidecars: { backendServer: string; leaving: boolean; }[]; };
        return sidecars.find(each => each.backendServer === engine.backendServer)!.leaving;
    };
    const starts = async (): Promise<number> => {
        const response = await request(`http://${engine.backendAddress}/stats`);
        return (await response.body.json() as { starts: number; }).starts;
    };
    assert.is((await cluster.runVerbenactl(["drain", engine.backendServer])).code, 0);
    await waitUntil("the drain is in force", leaving);
    const before = await starts();
    await Promise.all(
        Array.from({ length: 6 }, (_, index) => requestPlan(cluster.entries[index % 2], `drained-${index}`, 5)),
    );
    assert.is(await starts(), before);
    assert.is((await cluster.runVerbenactl(["restore", engine.backendServer])).code, 0);
    await waitUntil("the drain is lifted", async () => !await leaving());
});

test("a trace with the caller's trace id has a span for each hop", async ({ cluster }) => {
    const traceId = "0af7651916cd43dd8448eb211c80319c";
    const body = JSON.stringify({ model: "reminder", prompt: "length=2" });
    await post(cluster.entries[0].callerAddress, "/v1/completions", body, {
        traceparent: `00-${traceId}-b7ad6b7169203331-01`,
    });
    const hops = ["backend server", "entry", "link", "sidecar"];
    await waitUntil(
        "every hop's span is exported",
        () => hops.every(hop => collector.spanNames(traceId).includes(hop)),
    );
    assert.equal(collector.spanNames(traceId).sort(), hops);
});

test("metrics have the Prometheus text format", async ({ cluster }) => {
    await requestPlan(cluster.entries[0], "measured", 10);
    const response = await request(`http://${cluster.entries[0].callerAddress}/metrics`);
    const text = await response.body.text();
    assert.match(text, /^verbenaspring_time_between_tokens_milliseconds\{quantile="0.99"\} \d+$/m);
    assert.match(text, /^verbenaspring_requests_total\{result="completed"\} \d+$/m);
});

test("invalid arguments of verbenactl give an exit code, and an invalid document a message", async ({ cluster }) => {
    const wrongKind = await cluster.runVerbenactl(["put", "colour", "-"], "{}");
    assert.is(wrongKind.code, 64);
    const wrongDocument = await cluster.runVerbenactl(["put", "service", "-"], "{\"name\":\"x\"}");
    assert.equal([wrongDocument.code, wrongDocument.output.includes("kind")], [64, true]);
    const wrongToken = await cluster.runVerbenactl(["list", "--token", "wrong"]);
    assert.is(wrongToken.code, 1);
});

test.run();
