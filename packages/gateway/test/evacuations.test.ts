/**
 * Evacuations of failure domains: how the operator's records start and end them, and that their servers get nothing.
 */
import type { DecodedItem, GatewayEffect, PeerTopic } from "@verbenaspring/gateway";
import { type FailureDomain, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, linesIn, options, server, TestGateway } from "./gatewayBuilders.js";

const near = identifier<FailureDomain>("near");
const far = identifier<FailureDomain>("far");
const inFar = { failureDomain: far };

/** The operator's next record about a failure domain. */
function record(gateway: TestGateway, failureDomain: FailureDomain, isRequested = true): DecodedItem {
    const key = `evacuate/${failureDomain}`;
    return gateway.item(key, [{ kind: "evacuation", key, failureDomain, isRequested }], !isRequested);
}

function change(gateway: TestGateway, failureDomain: FailureDomain, isRequested = true): GatewayEffect[] {
    return gateway.read("configuration", [record(gateway, failureDomain, isRequested)]);
}

function gatewayWithPlainServers(): TestGateway {
    return TestGateway.serving(server("plain-1"), server("plain-2", inFar));
}

/** The servers that get the next calls, which are not answered, so that load spreads them over all usable servers. */
function targets(gateway: TestGateway): string[] {
    const calls = Array.from({ length: 12 }, (_, index) => gateway.sendRequest(`r${gateway.now}-${index}`, "confirm"));
    gateway.advance(1_000);
    return [...new Set(calls.map(call => String(call.backendServer)))].sort();
}

/** A peer's report of the operator's topic with the given records. */
function reportTopic(
    gateway: TestGateway,
    items: DecodedItem[],
    topic: Partial<PeerTopic>,
    protocol = 2,
): GatewayEffect[] {
    const read = { reader: identifier<never>("reader"), count: 1 };
    const topics = [{
        name: "configuration" as const,
        since: 0,
        read,
        through: 99,
        age: 0,
        items: [],
        isComplete: false,
        ...topic,
    }];
    return gateway.receiveReport({ protocol, topics }, { configuration: items });
}

test("an evacuated failure domain gets no request until the evacuation is withdrawn", () => {
    const gateway = gatewayWithPlainServers();
    const started = change(gateway, near);
    assert.equal(linesIn(started, "evacuation_started").map(({ servers }) => servers), [1]);
    assert.equal(targets(gateway), ["plain-2"]);
    assert.equal(linesIn(change(gateway, near), "evacuation_started"), [], "a repeated request changes nothing");
    change(gateway, identifier<FailureDomain>("empty"));
    assert.equal(targets(gateway), ["plain-2"]);
    assert.is(linesIn(change(gateway, near, false), "evacuation_ended").length, 1);
    assert.equal(targets(gateway), ["plain-1", "plain-2"]);
});

test("a retry does not go to an evacuated server", () => {
    const gateway = TestGateway.serving(server("plain-1"), server("plain-2"));
    const call = gateway.sendRequest("r", "lookup");
    gateway.register(server("plain-3", inFar));
    change(gateway, near);
    assert.equal(callsIn(gateway.failAttempt(call)).map(({ backendServer }) => backendServer), ["plain-3"]);
    const last = gateway.sendRequest("s", "lookup");
    change(gateway, far);
    assert.equal(callsIn(gateway.failAttempt(last)), []);
});

test("an evacuated server is not used when the registrations of all others lapsed", () => {
    const gateway = gatewayWithPlainServers();
    change(gateway, near);
    gateway.remove("plain-1");
    gateway.remove("plain-2");
    assert.equal(targets(gateway), ["plain-2"]);
    gateway.advance(2_000);
    assert.is(failuresIn(gateway.receiveRequest("r", "confirm"))[0].type, "no_backend_server");
});

test("evacuated servers hold no new replicas, and no stream continues from a replica there", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2", inFar));
    const call = gateway.startReplicatedStream("r", "plan");
    const attempt = gateway.state.attempts.get(call.attemptId)!.attempt!;
    change(gateway, attempt.replica!.record.failureDomain);
    assert.is(gateway.sendRequest("s", "plan").replicaAddress, undefined);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("a resumed stream does not begin again at an evacuated server", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2", inFar));
    const call = gateway.startStream("r", "note");
    change(gateway, call.backendServer === "engine-1" ? far : near);
    assert.equal(callsIn(gateway.failAttempt(call)).map(each => each.backendServer), [call.backendServer]);
});

test("requests to a service whose servers are all evacuated are refused at once, also where a server paused", () => {
    const gateway = gatewayWithPlainServers();
    const call = gateway.sendRequest("paused", "confirm");
    gateway.answer(call, { status: 503, isNotRun: true, isSealed: false, retryAfter: 9_000 });
    const last = gateway.sendRequest("last", "confirm");
    change(gateway, near);
    change(gateway, far);
    const refused = gateway.answer(last, { status: 503, isNotRun: true, isSealed: false });
    for (const [failure] of [failuresIn(gateway.receiveRequest("r", "confirm")), failuresIn(refused)]) {
        assert.equal([failure.type, failure.outcome], ["no_backend_server", "not_run"]);
        assert.match(failure.message, "evacuated");
        assert.ok(failure.retryAfter! >= 1_000 && failure.retryAfter! < 2_000, String(failure.retryAfter));
    }
});

test("the pause of an evacuated server does not shorten the time after which a caller should retry", () => {
    const gateway = gatewayWithPlainServers();
    for (const [id, retryAfter] of [["plain-1", 500], ["plain-2", 9_000]] as const) {
        gateway.state.pausedUntil.set(identifier(id), gateway.now + retryAfter);
    }
    change(gateway, near);
    assert.ok(failuresIn(gateway.receiveRequest("r", "confirm"))[0].retryAfter! >= 9_000);
});

test("a request that waits for room is refused at the next tick when the last domain of its service is evacuated", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const plan = { promptTokens: 4_000, maximumTokens: 500 };
    gateway.startStream("p1", "plan", plan);
    gateway.startStream("p2", "plan", plan);
    gateway.state.meanStreamDuration = 30;
    assert.equal(callsIn(gateway.receiveRequest("p3", "plan", plan)), []);
    assert.is(gateway.state.waiting.size, 1);
    change(gateway, near);
    const failures = failuresIn(gateway.advance(50));
    assert.match(failures[0].message, "evacuated");
    assert.equal([gateway.state.waiting.size, gateway.state.requests.size], [0, 2], "streams in progress go on");
});

test("a snapshot without the key of an evacuation withdraws it, and the record that requested it stays without effect", () => {
    const gateway = gatewayWithPlainServers();
    const requested = record(gateway, near);
    gateway.read("configuration", [requested]);
    gateway.read("configuration", [requested], true);
    assert.equal(targets(gateway), ["plain-2"], "a snapshot with the key changes nothing");
    gateway.read("configuration", [], true);
    assert.equal(targets(gateway), ["plain-1", "plain-2"]);
    reportTopic(gateway, [requested], {});
    assert.equal(targets(gateway), ["plain-1", "plain-2"], "a gateway that was partitioned reports the old record");
    assert.is(gateway.state.followers.configuration.next, 99);
    assert.ok(gateway.state.configuration !== undefined, "the configuration is kept");
});

test("an older snapshot does not withdraw an evacuation", () => {
    const gateway = gatewayWithPlainServers();
    const { next = 0 } = gateway.state.followers.configuration;
    change(gateway, near);
    gateway.handle({ kind: "topicRead", topic: "configuration", isSnapshot: true, items: [], next });
    assert.equal(targets(gateway), ["plain-2"]);
});

test("a failed read leaves an evacuation in force, and a gateway that starts learns it from another one's report", () => {
    const gateway = gatewayWithPlainServers();
    change(gateway, near);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "unreachable" });
    gateway.advance(10_000);
    assert.equal(targets(gateway), ["plain-2"]);
    const other = gatewayWithPlainServers();
    other.receiveReport({});
    reportTopic(other, [record(gateway, near)], { isComplete: true });
    assert.equal(targets(other), ["plain-2"]);
});

test("a withdrawal is passed on by a gateway that did not know the evacuation, since others may know it", () => {
    const gateway = gatewayWithPlainServers();
    const { next = 0 } = gateway.state.followers.configuration;
    reportTopic(gateway, [], { through: next });
    const reports = change(gateway, far, false).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const topics = reports.flatMap(report => report.topics).filter(({ name }) => name === "configuration");
    const items = topics.flatMap(topic => topic.items);
    assert.equal(items.map(({ key }) => key), ["evacuate/far"]);
});

test("changes that a gateway of an earlier version reports do not move reads past an evacuation", () => {
    const gateway = gatewayWithPlainServers();
    const { next } = gateway.state.followers.configuration;
    reportTopic(gateway, [], { through: 60 }, 1);
    assert.is(gateway.state.followers.configuration.next, next);
    reportTopic(gateway, [record(gateway, near)], { through: 60, isComplete: true }, 1);
    assert.equal([gateway.state.followers.configuration.next, ...targets(gateway)], [60, "plain-2"]);
});

/** The ids of the requests whose streams begin to be migrated. */
function migrationsIn(effects: readonly GatewayEffect[]): string[] {
    return effects.flatMap(effect => effect.kind === "migrateRun" ? [String(effect.callerAttemptId)] : []);
}

const long = { promptTokens: 500, maximumTokens: 1_000 };
const short = { promptTokens: 500, maximumTokens: 300 };

/** A gateway with streams at an engine in "near", and engines elsewhere that were registered later. */
function gatewayWithStreams(
    streams: readonly (readonly [id: string, routeName: string, sizes: typeof long])[],
    others = ["engine-2"],
): TestGateway {
    const gateway = TestGateway.serving(server("engine-1"));
    streams.forEach(([id, routeName, sizes]) => gateway.startStream(id, routeName, sizes));
    gateway.register(...others.map(id => server(id, inFar)));
    return gateway;
}

function answerMigration(gateway: TestGateway, requestId: string, handle: string | undefined): GatewayEffect[] {
    const attemptId = gateway.state.requests.get(identifier(requestId))!.attempt!.id;
    return gateway.answerMigration(attemptId, handle);
}

test("long streams leave an evacuated server one at a time, first those that would be lost with it; short ones stay", () => {
    const streams = [["s", "plan", short], ["n", "note", long], ["p", "plan", long]] as const;
    const gateway = gatewayWithStreams(streams, ["engine-2", "engine-3"]);
    gateway.state.options = { ...options, evacuationLimit: 4_000 };
    const evacuated = change(gateway, near);
    assert.equal(migrationsIn([...evacuated, ...gateway.advance(1_100)]), ["p"]);
    const moved = answerMigration(gateway, "p", "h1");
    assert.equal(callsIn(moved).map(({ continuesFrom }) => continuesFrom?.name), ["h1"]);
    assert.is.not(callsIn(moved)[0].backendServer, "engine-1");
    assert.equal(migrationsIn(moved), ["n"]);
    change(gateway, near, false);
    const refused = answerMigration(gateway, "n", undefined);
    assert.equal(migrationsIn([...refused, ...gateway.advance(1_500)]), [], "after the withdrawal nothing is migrated");
    assert.is(gateway.state.requests.get(identifier("n"))?.attempt?.server.record.id, "engine-1");
});

test("a stream of an evacuated server without a target goes on, and is migrated once an engine has memory", () => {
    const gateway = gatewayWithStreams([["p", "plan", { promptTokens: 2_000, maximumTokens: 1_000 }]]);
    const report = (memoryTokens: number) =>
        gateway.receiveReport({
            loads: [{
                backendServer: identifier<never>("engine-2"),
                inProgress: 1,
                memoryTokens,
                copiedTokens: 0,
                waitingTokens: 0,
            }],
        });
    report(5_000);
    change(gateway, near);
    const without = gateway.advance(1_500);
    assert.equal(migrationsIn(without), [], "the target would be filled to three quarters");
    assert.not.ok(without.some(effect => effect.kind === "cancelAttempt"));
    report(1_000);
    assert.equal(migrationsIn(gateway.advance(1_050)), ["p"]);
});

test("a stream of an evacuated server whose deadline is close is not migrated", () => {
    const gateway = gatewayWithStreams([["n", "note", long]]);
    gateway.advance(1_200);
    change(gateway, near);
    assert.equal(migrationsIn(gateway.advance(1_050)), []);
});

test("migrations from an evacuated server leave a retry for requests that fail", () => {
    const gateway = gatewayWithStreams([["p", "plan", long]]);
    gateway.state.retryBudget.options = { ratio: 0, slack: 2, window: 10_000 };
    change(gateway, near);
    assert.equal(migrationsIn(gateway.advance(1_050)), []);
    gateway.state.retryBudget.options = { ratio: 0, slack: 3, window: 10_000 };
    assert.equal(migrationsIn(gateway.advance(1_050)), ["p"]);
});

test.run();
