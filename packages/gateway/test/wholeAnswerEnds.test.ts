/**
 * Whole answers with neither a length nor chunks, whose channel ends in the same way when they are complete and when their
 * server has ended.
 */
import {
    type BackendAnswer,
    type BackendCall,
    type GatewayEffect,
    indexRoutes,
    type RoutingConfiguration,
    type ServerReport,
} from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    kindsIn,
    linesIn,
    plainService,
    routes,
    server,
    TestGateway,
} from "./gatewayBuilders.js";

const healthCheckPath = "/healthz";

/** @param timeout of all routes; by default those of the builders */
function withHealthChecks(timeout?: number): RoutingConfiguration {
    const { services, routesByHost, ...others } = configuration(2);
    const plain = { name: plainService, engine: undefined, healthCheckPath };
    const slowRoutes = timeout === undefined ? routesByHost : indexRoutes(routes.map(each => ({ ...each, timeout })));
    return { ...others, routesByHost: slowRoutes, services: new Map([...services, [plainService, plain]]) };
}

/** A gateway with a call whose answer has ended with its channel, and whose server is asked. */
function endedAnswer(
    routeName: string,
    overrides: Partial<BackendAnswer> = {},
    startedAt?: number,
    timeout?: number,
) {
    const gateway = TestGateway.serving(
        server("plain-1", { startedAt }),
        server("plain-2", { startedAt }),
        server("engine-1", { startedAt: 5 }),
    );
    gateway.configure(withHealthChecks(timeout));
    const call = gateway.sendRequest("r", routeName);
    const effects = gateway.answer(call, { endsWithChannel: true, ...overrides });
    return { gateway, call, effects };
}

function checksIn(effects: readonly GatewayEffect[]) {
    return effects.filter(effect => effect.kind === "checkAnswerEnd");
}

function cancelledIn(effects: readonly GatewayEffect[]): string[] {
    return effects.flatMap(effect => effect.kind === "cancelAttempt" ? [effect.attemptId] : []);
}

function engineReport(overrides: Partial<ServerReport> = {}): ServerReport {
    return { runs: [], isLeaving: false, startedAt: 5, ...overrides };
}

/** Answers the check as often as it is made, with no answer of the server. */
function failChecks(gateway: TestGateway, { attemptId }: BackendCall): GatewayEffect[] {
    const handle = (): GatewayEffect[] => gateway.handle({ kind: "answerEndChecked", attemptId, report: undefined });
    for (let failures = 1; failures < 3; failures++) {
        handle();
        assert.is(checksIn(gateway.advance(50)).length, 1);
    }
    return handle();
}

test("an unframed whole answer waits until its server has answered, and is then passed on and released", () => {
    for (
        const [routeName, report] of [["confirm", undefined], ["lookup", undefined], ["plan", engineReport()]] as const
    ) {
        const { gateway, call, effects } = endedAnswer(routeName);
        const [{ backendServer, hasReport, ...check }] = checksIn(effects);
        assert.equal([backendServer, hasReport], [call.backendServer, routeName === "plan"]);
        assert.is(check.healthCheckPath, routeName === "plan" ? undefined : healthCheckPath);
        assert.equal(kindsIn(effects).filter(kind => /answer|cancelAttempt/.test(kind)), []);
        const answered = gateway.reportEnd(call.attemptId, report);
        assert.ok(kindsIn(answered).includes("answerWhole"));
        assert.equal(cancelledIn(answered), [call.attemptId]);
    }
});

/** What an answer to a health check tells: it states no start. */
const healthAnswer: ServerReport = { runs: undefined, isLeaving: false, startedAt: undefined };

test("an unframed whole answer of a plain server whose record states its start is passed on once the server has answered", () => {
    const { gateway, call } = endedAnswer("confirm", {}, 5);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, healthAnswer)).includes("answerWhole"));
});

/** A health check that is answered 350 ms after the end of the channel, by a plain server whose record states its start. */
function answeredLate(timeout?: number) {
    const { gateway, call } = endedAnswer("confirm", {}, 5, timeout);
    gateway.now += 350;
    return { gateway, call, effects: gateway.reportEnd(call.attemptId, healthAnswer) };
}

// MIXED: a server that had started again answered the check, and half of an answer was passed on as the whole.
test("an unframed whole answer of a plain server that answers late waits until its record shows whether it has started again", () => {
    for (const startedAgain of [true, false]) {
        const { gateway, call: { attemptId, backendServer }, effects } = answeredLate();
        assert.equal(kindsIn(effects).filter(kind => /answerWhole|answerFailure/.test(kind)), []);
        gateway.advance(150);
        gateway.register(server(backendServer, startedAgain ? { startedAt: 6 } : { startedAt: 5, heartbeat: 2 }));
        gateway.advance(50);
        gateway.register();
        const settled = gateway.reportEnd(attemptId, healthAnswer);
        assert.is(kindsIn(settled).includes("answerWhole"), !startedAgain);
        assert.is(kindsIn(settled).includes("answerFailure"), startedAgain);
    }
});

// MIXED: the record showed the new start already.
test("an unframed whole answer of a plain server that has started again by its record is not passed on", () => {
    const { gateway, call } = endedAnswer("confirm", {}, 5);
    gateway.register(server(call.backendServer, { startedAt: 6 }));
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, healthAnswer)).includes("answerFailure"));
});

/** Answers checks while the records are not read, and returns the effects. */
function answerChecksFor(gateway: TestGateway, { attemptId }: BackendCall, duration: number): GatewayEffect[] {
    return Array.from({ length: duration / 200 }, () => [
        ...gateway.advance(200),
        ...gateway.reportEnd(attemptId, healthAnswer),
    ]).flat();
}

// LOST: an outage of the log for two seconds cut streams that were whole, and failed whole answers.
test("an answer of a plain server that answers late waits for its record for as long as its time limit allows", () => {
    const { gateway, call } = answeredLate(10_000);
    const kinds = kindsIn(answerChecksFor(gateway, call, 4_000));
    assert.equal(kinds.filter(kind => /answerWhole|answerFailure/.test(kind)), []);
    gateway.register();
    gateway.advance(50);
    gateway.register();
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, healthAnswer)).includes("answerWhole"));
});

// Each late answer had the records read often for a minute.
test("the records are read often only while an answer waits for one", () => {
    const { gateway, call: { attemptId } } = answeredLate();
    gateway.advance(150);
    gateway.register();
    gateway.advance(50);
    gateway.register();
    assert.ok(kindsIn(gateway.reportEnd(attemptId, healthAnswer)).includes("answerWhole"));
    gateway.advance(400);
    gateway.register();
    assert.not.ok(kindsIn(gateway.advance(50)).includes("readTopic"));
});

test("an unframed whole answer whose server does not answer three times is not passed on", () => {
    const { gateway, call } = endedAnswer("confirm");
    const effects = failChecks(gateway, call);
    assert.ok(kindsIn(effects).includes("answerFailure"));
    assert.not.ok(kindsIn(effects).includes("answerWhole"));
    assert.equal(cancelledIn(effects), [call.attemptId]);
    assert.is(linesIn(effects, "answer_end_checked")[0].verdict, "cut");
});

test("an idempotent call whose unframed answer may be a part of it is sent to another server", () => {
    const { gateway, call } = endedAnswer("lookup");
    const [next] = callsIn(failChecks(gateway, call));
    assert.not.equal(next.backendServer, call.backendServer);
});

test("an unframed whole answer of an engine that has started again is not passed on", () => {
    const { gateway, call } = endedAnswer("plan");
    const effects = gateway.reportEnd(call.attemptId, engineReport({ startedAt: 6 }));
    assert.not.ok(kindsIn(effects).includes("answerWhole"));
});

// Of a whole answer, no events have arrived with which those of the run could be compared.
test("a report that lists the run of an unframed whole answer may be old", () => {
    const { gateway, call } = endedAnswer("plan");
    const runs = [{ callerAttemptId: call.head.callerAttemptId, events: 9 }];
    assert.equal(
        kindsIn(gateway.reportEnd(call.attemptId, engineReport({ runs }))).filter(kind => /answer/.test(kind)),
        [],
    );
    gateway.advance(200);
    assert.ok(kindsIn(gateway.reportEnd(call.attemptId, engineReport())).includes("answerWhole"));
});

// A server stops work then, and the gateway looks at time limits every 50 ms.
test("an unframed whole answer that ends when its time limit is over is not passed on", () => {
    for (const [rest, isWhole] of [[30, true], [15, false], [-30, false]] as const) {
        const gateway = TestGateway.serving(server("plain-1"));
        gateway.configure(withHealthChecks());
        const call = gateway.sendRequest("r", "confirm");
        gateway.now += call.timeLeft - rest;
        const effects = gateway.answer(call, { endsWithChannel: true });
        assert.is(checksIn(effects).length, isWhole ? 1 : 0, `${rest} ms before the end`);
        assert.is(kindsIn(effects).includes("answerFailure"), !isWhole);
        assert.is(cancelledIn(effects).length, isWhole ? 0 : 1);
        assert.is(kindsIn(gateway.reportEnd(call.attemptId)).includes("answerWhole"), isWhole);
    }
});

test("nothing is asked for refusals, answers with framing and answers to another request", () => {
    for (
        const overrides of [
            { endsWithChannel: false },
            { isNotRun: true, status: 503 },
            { callerAttemptId: identifier<never>("other") },
        ]
    ) {
        assert.equal(checksIn(endedAnswer("confirm", overrides).effects), []);
    }
});

// The channels keep an answer without framing until its call is cancelled.
test("each unframed whole answer that is not checked is released", () => {
    const { call, effects } = endedAnswer("confirm", { callerAttemptId: identifier<never>("other") });
    assert.equal(cancelledIn(effects), [call.attemptId]);
    const { gateway, call: answered } = endedAnswer("confirm");
    assert.ok(
        cancelledIn(gateway.handle({ kind: "callerLeft", requestId: identifier("r") })).includes(answered.attemptId),
    );
    assert.equal(cancelledIn(gateway.answer(answered, { endsWithChannel: true })), [answered.attemptId]);
});

test("an unframed whole answer whose server never answers ends with its time limit", () => {
    const { gateway, call } = endedAnswer("confirm");
    const effects = gateway.advance(900);
    assert.ok(kindsIn(effects).includes("answerFailure"));
    assert.ok(cancelledIn(effects).includes(call.attemptId));
});

test.run();
