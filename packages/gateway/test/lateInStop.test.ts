/**
 * Requests that arrive late in a planned stop: what is not known to end in time is refused, so that another gateway serves it.
 */
import { remainingRetries } from "@verbenaspring/coordination";
import { indexRoutes } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    eventsIn,
    failuresIn,
    kindsIn,
    linesIn,
    requestHead,
    requestId,
    route,
    routes,
    server,
    TestGateway,
} from "./gatewayBuilders.js";

const streamOptions = { isStream: true, timeout: 39_000, targetLatency: 2_000 };

function servingGateway(): TestGateway {
    const gateway = TestGateway.serving(server("plain-1"), server("engine-1"));
    gateway.configure(configuration(2, {
        routesByHost: indexRoutes([...routes, route("slow", { timeout: 30_000 }), route("listing", streamOptions)]),
    }));
    return gateway;
}

/** Has the gateway answer a plain request, whose caller takes the answer after a further time. */
function serve(gateway: TestGateway, id: string, duration: number, readingTime: number): void {
    const call = gateway.sendRequest(id, "slow");
    gateway.advance(duration);
    gateway.answer(call, {});
    gateway.advance(readingTime);
    gateway.handle({ kind: "answerTaken", requestId: requestId(id) });
}

function stopAt(gateway: TestGateway, elapsed: number): void {
    gateway.handle({ kind: "stopRequested" });
    // Keeps the process running.
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    gateway.advance(elapsed);
}

/** Sends a request and returns the type of its refusal, or "accepted". */
function outcome(
    gateway: TestGateway,
    routeName: string,
    overrides: { readonly maximumTokens?: number; } = {},
): string {
    const effects = gateway.receiveRequest(`late ${routeName}`, routeName, overrides);
    const [failure] = failuresIn(effects);
    if (failure === undefined) {
        return callsIn(effects).length > 0 ? "accepted" : "waits";
    }
    assert.is(failure.outcome, "not_run");
    assert.ok(failure.retryAfter! < 100, `to be repeated after ${failure.retryAfter}`);
    return failure.type;
}

// A head without tokens counted as no time at all, and later as long as earlier streams of its route.
test("a stream without tokens, sent 5.5 s after the stop, is refused however long streams of its route take", () => {
    for (const duration of [2_400, 300]) {
        const gateway = servingGateway();
        const call = gateway.startStream("earlier", "listing", { maximumTokens: 0 });
        gateway.advance(duration);
        gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
        gateway.handle({ kind: "answerTaken", requestId: requestId("earlier") });
        stopAt(gateway, 5_500);
        assert.is(outcome(gateway, "listing", { maximumTokens: 0 }), "leaving");
    }
});

test("a stream without tokens is accepted late in a stop if its caller's time limit ends before the stop", () => {
    const gateway = servingGateway();
    gateway.completeStream("earlier", "listing");
    stopAt(gateway, 5_000);
    const late = { maximumTokens: 0, timeLimit: 2_000 };
    assert.is(callsIn(gateway.receiveRequest("late", "listing", late)).length, 1);
});

test("a plain request whose route takes 1.2 s is refused once that does not fit", () => {
    for (const [elapsed, expected] of [[6_200, "leaving"], [5_000, "accepted"]] as const) {
        const gateway = servingGateway();
        serve(gateway, "earlier", 1_200, 0);
        stopAt(gateway, elapsed);
        assert.is(outcome(gateway, "slow"), expected);
    }
});

test("a stream whose route waits 1.3 s for the first event is refused once that and its tokens do not fit", () => {
    for (const [elapsed, expected] of [[6_200, "leaving"], [4_000, "accepted"]] as const) {
        const gateway = servingGateway();
        const call = gateway.sendRequest("earlier", "plan");
        gateway.advance(1_300);
        gateway.openStream(call);
        gateway.receiveEvents(call, 1);
        gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
        gateway.handle({ kind: "answerTaken", requestId: requestId("earlier") });
        stopAt(gateway, elapsed);
        assert.is(outcome(gateway, "plan", { maximumTokens: 10 }), expected);
    }
});

test("the time that callers take for answers counts, also while they still read", () => {
    const gateway = servingGateway();
    serve(gateway, "earlier", 30, 1_500);
    stopAt(gateway, 5_800);
    assert.is(outcome(gateway, "slow"), "leaving");

    const other = servingGateway();
    const call = other.sendRequest("earlier", "slow");
    other.advance(50);
    other.answer(call, {});
    stopAt(other, 5_000);
    assert.is(outcome(other, "slow"), "leaving");
});

test("a request of an unknown duration is accepted only if its caller's time limit ends before the stop", () => {
    for (const [timeLimit, expected] of [[60_000, "leaving"], [2_000, "accepted"]] as const) {
        const gateway = servingGateway();
        stopAt(gateway, 5_000);
        const effects = gateway.receiveRequest("late", "slow", { timeLimit });
        assert.is(failuresIn(effects)[0]?.type ?? "accepted", expected);
    }
});

test("a request late in a stop is accepted if its route's timeout ends before the stop and callers read quickly", () => {
    for (const [readingTime, expected] of [[0, "accepted"], [500, "leaving"]] as const) {
        const gateway = servingGateway();
        const call = gateway.sendRequest("earlier", "confirm");
        gateway.advance(700);
        gateway.answer(call, {});
        gateway.advance(readingTime);
        gateway.handle({ kind: "answerTaken", requestId: requestId("earlier") });
        stopAt(gateway, 6_600);
        assert.is(outcome(gateway, "confirm"), expected);
    }
});

// The time of an engine's preemption counted for nothing, since the tokens of a head were taken for all that follows its first event.
test("a stream with tokens is refused late in a stop if streams of its route paused for longer than is left", () => {
    for (const [pause, expected] of [[3_000, "leaving"], [100, "accepted"]] as const) {
        const gateway = servingGateway();
        const call = gateway.startStream("earlier", "plan", { maximumTokens: 10 });
        gateway.advance(pause);
        gateway.receiveEvents(call, 2);
        gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
        gateway.handle({ kind: "answerTaken", requestId: requestId("earlier") });
        stopAt(gateway, 5_000);
        assert.is(outcome(gateway, "plan", { maximumTokens: 10 }), expected);
    }
});

// Streams that have ended are the fast ones: what still waits for its first event was not known to the forecast.
test("a stream with a few tokens is refused late in a stop while another of its route still waits for its first event", () => {
    const gateway = servingGateway();
    gateway.completeStream("earlier", "plan");
    gateway.sendRequest("waiting", "plan", { promptTokens: 1_000, maximumTokens: 17 });
    gateway.advance(1_500);
    stopAt(gateway, 3_500);
    assert.is(outcome(gateway, "plan", { maximumTokens: 31 }), "leaving");
});

// The longest first event of the last minute was 1.3 s; this one came after 4 s, and the stream was cut after it.
test("a stream that is accepted late in a stop ends before it, however long its engine takes for the first event", () => {
    for (const timeLimit of [6_000, 2_000]) {
        const gateway = servingGateway();
        gateway.completeStream("earlier", "plan");
        stopAt(gateway, 3_000);
        const [call] = callsIn(gateway.receiveRequest("late", "plan", { maximumTokens: 31, timeLimit }));
        const effects = gateway.advance(4_000);
        if (call !== undefined) {
            effects.push(...gateway.openStream(call), ...gateway.receiveEvents(call, 1));
        }
        effects.push(...gateway.advance(1_000));
        assert.not.ok(kindsIn(effects).includes("answerCut"), `a stream with a time limit of ${timeLimit} ms`);
        assert.is(failuresIn(effects).length, 1);
    }
});

test("a stream that is accepted late in a stop by its forecast reaches its caller whole, and one with a time limit as it comes", () => {
    for (const [timeLimit, isHeld] of [[6_000, true], [2_000, false]] as const) {
        const gateway = servingGateway();
        gateway.completeStream("earlier", "plan");
        stopAt(gateway, 3_000);
        const [call] = callsIn(gateway.receiveRequest("late", "plan", { maximumTokens: 31, timeLimit }));
        const first = [...gateway.openStream(call), ...gateway.receiveEvents(call, 1), ...gateway.advance(100)];
        assert.equal(eventsIn(first), isHeld ? [] : [1]);
        const rest = [
            ...gateway.receiveEvents(call, 2),
            ...gateway.handle({ kind: "streamEnded", attemptId: call.attemptId }),
        ];
        assert.equal(eventsIn(rest), isHeld ? [1, 2] : [2]);
        assert.is(kindsIn(rest).at(-1), "answerEnd");
    }
});

test("a stream that would be held for seconds is refused late in a stop, though its forecast fits", () => {
    const gateway = servingGateway();
    gateway.completeStream("earlier", "plan");
    stopAt(gateway, 3_500);
    assert.is(outcome(gateway, "plan", { maximumTokens: 100 }), "leaving");
});

test("a stream that is held late in a stop and has too many events fails whole, and not for its record", () => {
    const gateway = servingGateway();
    gateway.completeStream("earlier", "plan");
    stopAt(gateway, 3_000);
    const call = gateway.sendRequest("late", "plan", { maximumTokens: 31 });
    gateway.openStream(call);
    const effects = gateway.receiveEvents(call, ...Array.from({ length: 2_100 }, (_, index) => index + 1));
    assert.equal(failuresIn(effects).map(({ type, outcome }) => [type, outcome]), [["leaving", "outcome_unknown"]]);
    assert.equal(eventsIn(effects), []);
});

test("a stream is refused late in a stop while another of its route pauses for longer than is left", () => {
    for (const [isPausing, expected] of [[true, "leaving"], [false, "accepted"]] as const) {
        const gateway = servingGateway();
        gateway.completeStream("earlier", "plan");
        if (isPausing) {
            gateway.startStream("pausing", "plan", { maximumTokens: 10 });
        }
        stopAt(gateway, 3_300);
        assert.is(outcome(gateway, "plan", { maximumTokens: 10 }), expected);
    }
});

test("a stream that was read late is accepted late in a stop only if the latest end of its time limit is before the stop's", () => {
    for (const [timeLimit, expected] of [[2_600, "leaving"], [2_400, "accepted"]] as const) {
        const gateway = servingGateway();
        stopAt(gateway, 5_000);
        const effects = gateway.handle({
            kind: "requestReceived",
            requestId: requestId("late"),
            head: requestHead("late", "plan", { timeLimit }),
            contentDigest: identifier("late"),
            receivedAt: gateway.now - 250,
            readDelay: 250,
        });
        assert.is(failuresIn(effects)[0]?.type ?? "accepted", expected);
    }
});

// A request that ended without an answer counted nowhere, though it had taken longer than those that got one.
test("requests whose callers have left before the answer count with what they had taken", () => {
    for (const routeName of ["plan", "slow"]) {
        const gateway = servingGateway();
        gateway.completeStream("earlier", "plan");
        serve(gateway, "answered", 30, 0);
        gateway.sendRequest("given up", routeName, { maximumTokens: 17 });
        gateway.advance(1_500);
        gateway.handle({ kind: "callerLeft", requestId: requestId("given up") });
        stopAt(gateway, 5_300);
        assert.is(outcome(gateway, routeName, { maximumTokens: 17 }), "leaving", routeName);
    }
});

test("a request whose caller has left at once tells nothing of its route", () => {
    const gateway = servingGateway();
    gateway.sendRequest("given up", "slow");
    gateway.handle({ kind: "callerLeft", requestId: requestId("given up") });
    stopAt(gateway, 5_300);
    assert.is(outcome(gateway, "slow"), "leaving");
});

test("streams that reached their time limit without an event count with what they had taken", () => {
    const gateway = servingGateway();
    gateway.completeStream("earlier", "plan");
    gateway.sendRequest("late", "plan", { maximumTokens: 17, timeLimit: 1_500 });
    assert.is(failuresIn(gateway.advance(1_500))[0].type, "deadline_exceeded");
    stopAt(gateway, 5_300);
    assert.is(outcome(gateway, "plan", { maximumTokens: 17 }), "leaving");
});

// The answers that the forecast knew were those of calls that had already ended.
test("a plain request is refused late in a stop while another of its route has run for longer than is left", () => {
    const gateway = servingGateway();
    serve(gateway, "earlier", 30, 0);
    gateway.sendRequest("running", "slow");
    gateway.advance(1_500);
    stopAt(gateway, 5_000);
    assert.is(outcome(gateway, "slow"), "leaving");
});

// A stream whose server ended was cut for want of a retry, though callers had sent enough requests for one.
test("requests that a planned stop refuses count for the retry budget", () => {
    const gateway = servingGateway();
    gateway.completeStream("earlier", "plan");
    stopAt(gateway, 3_500);
    const left = (): number =>
        remainingRetries(
            gateway.state.retryBudget,
            identifier("engine"),
            { instances: 1, uptime: 60_000 },
            gateway.now,
        );
    const before = left();
    assert.is(outcome(gateway, "plan", { maximumTokens: 1_000 }), "leaving");
    assert.ok(left() > before);
});

// The stop ended when the platform had killed the process.
test("a stop that was requested a while before it could be handled counts from then", () => {
    const gateway = servingGateway();
    gateway.startStream("running", "plan", { maximumTokens: 10 });
    gateway.handle({ kind: "stopRequested", readDelay: 700 });
    const early = kindsIn(gateway.advance(6_750));
    assert.not.ok(early.includes("answerCut"));
    assert.ok(kindsIn(gateway.advance(50)).includes("answerCut"));
});

test("the balancer removes a gateway from when it reports itself not ready, however late it could handle its stop", () => {
    const gateway = servingGateway();
    gateway.handle({ kind: "stopRequested", readDelay: 700 });
    assert.not.ok(kindsIn(gateway.advance(3_150)).includes("exit"));
    assert.ok(kindsIn(gateway.advance(50)).includes("exit"));
});

// Requests sent later than 3 s after the signal were accepted by their estimates.
test("estimates are trusted only until the earliest time at which a stop that was read late may be late", () => {
    for (const [readDelay, isAccepted] of [[700, false], [0, true]] as const) {
        const gateway = servingGateway();
        gateway.completeStream("earlier", "plan");
        gateway.handle({ kind: "stopRequested", readDelay });
        gateway.advance(1_900);
        const effects = gateway.receiveRequest("r", "plan", { maximumTokens: 1_000, estimatedTokens: 10 });
        assert.is(callsIn(effects).length === 1, isAccepted);
    }
});

// A configuration may rename its routes thousands of times a day.
test("the durations of routes that a configuration does not have any more are forgotten", () => {
    const gateway = servingGateway();
    serve(gateway, "earlier", 30, 0);
    assert.equal([...gateway.state.durations.ofRoutes.keys()], ["slow"]);
    gateway.configure(configuration(3));
    assert.equal([...gateway.state.durations.ofRoutes.keys()], []);
});

// It was sent to a server, and its answer was lost with the process.
test("a request that is handled after the exit is refused", () => {
    const gateway = servingGateway();
    serve(gateway, "earlier", 30, 0);
    gateway.handle({ kind: "stopRequested" });
    assert.ok(kindsIn(gateway.advance(3_250)).includes("exit"));
    assert.is(outcome(gateway, "slow"), "leaving");
});

test("at the end of a stop each request without a written head gets a whole answer", () => {
    const gateway = servingGateway();
    gateway.sendRequest("running", "slow");
    const opened = gateway.sendRequest("opened", "plan", { maximumTokens: 10 });
    gateway.openStream(opened);
    const begun = gateway.startStream("begun", "plan", { maximumTokens: 10 });
    gateway.handle({ kind: "stopRequested" });
    const effects = [gateway.receiveRequest("early", "slow"), gateway.advance(8_000)].flat();
    const failures = failuresIn(effects).map(({ type, outcome }) => `${type} ${outcome}`);
    assert.equal(failures, Array.from({ length: 3 }, () => "leaving outcome_unknown"));
    assert.is(kindsIn(effects).filter(kind => kind === "answerCut").length, 1);
    assert.ok(begun);
});

// The exit followed in the same turn, before the callers' server could report that the answers were not taken.
test("the process does not end in the turn of its last failures, and waits until callers have taken them", () => {
    const gateway = servingGateway();
    gateway.sendRequest("running", "slow");
    gateway.handle({ kind: "stopRequested" });
    const effects = gateway.advance(7_500);
    assert.is(failuresIn(effects).length, 1);
    assert.not.ok(kindsIn(effects).includes("exit"));
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    assert.not.ok(kindsIn(gateway.advance(150)).includes("exit"));
    gateway.handle({ kind: "unsentAnswers", count: 0 });
    assert.ok(kindsIn(gateway.advance(50)).includes("exit"));
});

// The stop was counted from when the signal was read. The process was killed before it had given the last answers.
test("the remaining requests get their answers before the process is killed, though it read the request to stop late", () => {
    const gateway = servingGateway();
    gateway.sendRequest("running", "slow");
    gateway.handle({ kind: "stopRequested", readDelay: 700 });
    const effects = gateway.advance(6_800);
    assert.is(failuresIn(effects).length, 1);
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    assert.ok(kindsIn(gateway.advance(300)).includes("exit"));
});

test("a request is refused late in a stop that was read late, if it does not fit in what may be left of it", () => {
    for (const [readDelay, expected] of [[0, "accepted"], [700, "leaving"]] as const) {
        const gateway = servingGateway();
        serve(gateway, "earlier", 1_200, 0);
        gateway.handle({ kind: "stopRequested", readDelay });
        gateway.handle({ kind: "unsentAnswers", count: 1 });
        gateway.advance(5_400);
        assert.is(outcome(gateway, "slow"), expected);
    }
});

test("a stream is held until its end once it may have been sent late in a stop, though the request to stop was read late", () => {
    for (const [readDelay, isHeld] of [[0, false], [700, true]] as const) {
        const gateway = servingGateway();
        gateway.completeStream("earlier", "plan");
        gateway.handle({ kind: "stopRequested", readDelay });
        gateway.advance(2_400);
        const [call] = callsIn(gateway.receiveRequest("late", "plan", { maximumTokens: 31 }));
        const first = [...gateway.openStream(call), ...gateway.receiveEvents(call, 1)];
        assert.equal(eventsIn(first), isHeld ? [] : [1]);
    }
});

test("a stream goes on into the last sixth of a stop, however late the request to stop was read", () => {
    const gateway = servingGateway();
    gateway.startStream("begun", "plan", { maximumTokens: 10 });
    gateway.handle({ kind: "stopRequested", readDelay: 5_000 });
    assert.not.ok(kindsIn(gateway.advance(6_650)).includes("answerCut"));
    assert.ok(kindsIn(gateway.advance(100)).includes("answerCut"));
});

// A request that ended whole left no line, so that one that is reported as lost could not be told from one that was never seen.
test("each request that is accepted late in a stop or ends in one leaves a line that names it", () => {
    const gateway = servingGateway();
    serve(gateway, "earlier", 30, 0);
    const stream = gateway.startStream("stream", "plan", { maximumTokens: 10 });
    stopAt(gateway, 3_000);
    const accepted = gateway.receiveRequest("late", "slow", { timeLimit: 2_000 });
    const [acceptance] = linesIn(accepted, "accepted_late_in_stop");
    assert.is(acceptance.request, "late");
    assert.is(acceptance.arrivedInStop, 3_000);
    assert.ok(Number(acceptance.forecast) <= Number(acceptance.remaining));
    const [answered] = linesIn(gateway.answer(callsIn(accepted)[0]), "request_answered");
    assert.is(answered.request, "late");
    const ended = gateway.handle({ kind: "streamEnded", attemptId: stream.attemptId });
    assert.is(linesIn(ended, "stream_answered")[0].request, "stream");
});

// The answer of a server that failed was passed on without a line.
test("a request whose server answers with an error in a stop leaves a line that names it", () => {
    const gateway = servingGateway();
    const call = gateway.sendRequest("failed", "slow");
    stopAt(gateway, 500);
    const [answered] = linesIn(gateway.answer(call, { status: 500 }), "request_answered");
    assert.equal([answered.request, answered.status], ["failed", 500]);
});

test("a request that fails in a stop says whether its answer had begun", () => {
    const gateway = servingGateway();
    gateway.sendRequest("waiting", "plan", { maximumTokens: 10 });
    gateway.advance(200);
    gateway.startStream("begun", "plan", { maximumTokens: 10 });
    gateway.handle({ kind: "stopRequested" });
    const lines = linesIn(gateway.advance(8_000), "request_failed");
    assert.equal(lines.map(({ request, hasBegun, firstEventAge }) => [request, hasBegun, firstEventAge]), [
        ["waiting", false, undefined],
        ["begun", true, 0],
    ]);
});

test.run();
