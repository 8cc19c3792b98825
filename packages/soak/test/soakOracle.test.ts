/**
 * Tests of the checks of a soak.
 */
import type { ServerCall, ServerRun } from "@verbenaspring/emulator";
import { platformLimits } from "@verbenaspring/fuzz";
import {
    SoakBalancer,
    type SoakGateway,
    SoakOracle,
    type SoakRequest,
    type SoakResponseHead,
} from "@verbenaspring/soak";
import { pause } from "@verbenaspring/stand-ins";
import { test } from "uvu";
import * as assert from "uvu/assert";

const gateway = {
    name: "slot-0",
    callersSilencedAt: -Infinity,
    process: { options: { name: "gateway-0" } },
} as SoakGateway;
/** Longer than the time in which an earlier run must end. */
const checkedAfter = platformLimits.supersededRunEnd + 200;

function createOracle(checksTimeLimits = true, isServerRunning = true): SoakOracle {
    return new SoakOracle(checksTimeLimits, () => undefined, () => undefined, () => [gateway], () => isServerRunning);
}

function createRequest(overrides: Partial<SoakRequest> = {}): SoakRequest {
    const now = performance.now();
    return {
        id: "a",
        kind: "plan",
        gateway,
        sentAt: now,
        bodySentAt: overrides.sentAt ?? now,
        connectionOpenedAt: now,
        deadlineAt: now + 10_000,
        promptTokens: 200,
        events: 10,
        takesUp: undefined,
        firstAttemptId: "a",
        lastEvent: 0,
        softwareVersion: undefined,
        end: undefined,
        ...overrides,
    };
}

function recordRequest(oracle: SoakOracle): void {
    oracle.recordRequest(createRequest());
}

function recordRun(oracle: SoakOracle, server: string, overrides: Partial<ServerRun> = {}): ServerRun {
    const run: ServerRun = {
        server,
        service: "engine",
        callerAttemptId: "a",
        path: "/plan/1",
        body: "",
        lineage: "engine1/a/0",
        continuesFromReplica: false,
        startedAt: performance.now(),
        endedAt: undefined,
        isComplete: false,
        ...overrides,
    };
    oracle.recordRun(run);
    return run;
}

const continued: Partial<ServerRun> = { continuesFromReplica: true };

/** Records a run that goes on elsewhere while it still runs, and returns the promises that are broken. */
async function breakPromises(oracle: SoakOracle, between: () => void = () => undefined): Promise<string[]> {
    recordRequest(oracle);
    recordRun(oracle, "engine1");
    between();
    recordRun(oracle, "engine2", continued);
    await pause(checkedAfter);
    return oracle.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
}

const broken = "one_run_at_a_time: a is still running at engine1";

test("an earlier run that goes on for longer than allowed breaks the promise", async () => {
    assert.equal(await breakPromises(createOracle()), [broken]);
});

test("an earlier run that ends in time breaks nothing", async () => {
    const oracle = createOracle();
    recordRequest(oracle);
    const earlier = recordRun(oracle, "engine1");
    recordRun(oracle, "engine2", continued);
    earlier.endedAt = performance.now();
    await pause(checkedAfter);
    assert.equal(oracle.violations, []);
});

test("the promise is broken also when the later run has ended, or is a new run that still runs", async () => {
    const [one, other] = [createOracle(), createOracle()];
    recordRequest(one);
    recordRun(one, "engine1");
    recordRun(one, "engine2", { ...continued, endedAt: performance.now() });
    recordRequest(other);
    recordRun(other, "engine1");
    recordRun(other, "engine2");
    await pause(checkedAfter);
    assert.equal(one.violations.map(({ promise }) => promise), ["one_run_at_a_time"]);
    assert.equal(other.violations.map(({ promise }) => promise), ["non_idempotent_at_most_once", "one_run_at_a_time"]);
});

test("a fault of the gateway or of the link to the earlier server excuses it", async () => {
    const [oracle, other] = [createOracle(), createOracle()];
    const results = await Promise.all([
        breakPromises(oracle, () => oracle.recordGatewayFault(gateway, 0)),
        breakPromises(other, () => other.recordServerLinkFault("engine1", 0)),
    ]);
    assert.equal(results, [[], []]);
});

test("a fault of the callers' link, of the later server's link or of another gateway excuses nothing", async () => {
    const [oracle, other, third] = [createOracle(), createOracle(), createOracle()];
    const results = await Promise.all([
        breakPromises(oracle, () => oracle.faultRecord.recordProcessFault(gateway.name, 1_000)),
        breakPromises(other, () => other.recordServerLinkFault("engine2", 1_000)),
        breakPromises(third, () => third.recordGatewayFault({ ...gateway, name: "slot-1" }, 1_000)),
    ]);
    assert.equal(results, [[broken], [broken], [broken]]);
});

test("a lag of the soak postpones the check by as much", async () => {
    const oracle = createOracle();
    const lag = 500;
    assert.equal(await breakPromises(oracle, () => setTimeout(() => oracle.recordLag(lag), 100)), []);
    await pause(lag);
    assert.equal(oracle.violations.map(({ promise }) => promise), ["one_run_at_a_time"]);
});

test("nothing is checked where time limits are not", async () => {
    assert.equal(await breakPromises(createOracle(false)), []);
});

const sent: ServerCall = {
    callerAttemptId: "a",
    target: "engine1",
    path: "/plan/1",
    body: "",
    timeLimit: 10_000,
    promptTokens: 1,
    sharedParts: [],
    outputTokens: 10,
    priority: 5,
    lastEvent: 0,
    replicaAddress: undefined,
    copy: undefined,
};
const head: SoakResponseHead = {
    status: 200,
    server: "engine1",
    declaresLimit: false,
    isServerLeaving: true,
    isSealed: true,
};

/** Records a request whose answer says that its server leaves, and checks one that is sent long after it. */
function breakNotice(oracle: SoakOracle, isRestarted: boolean): string[] {
    recordRequest(oracle);
    oracle.recordArrival(sent, "engine1");
    const request = createRequest();
    oracle.recordHead(request, head);
    if (isRestarted) {
        oracle.forgetServer("engine1");
    }
    const sentAt = performance.now() + platformLimits.drain + 1;
    oracle.recordRequest({ ...request, id: "b", sentAt });
    oracle.recordArrival({ ...sent, callerAttemptId: "b" }, "engine1");
    return oracle.violations.map(({ promise }) => promise);
}

test("a notice that a caller got a part of an answer with binds the gateway", () => {
    assert.equal(breakNotice(createOracle(), false), ["leaving_gets_no_new_work"]);
});

test("a notice of an incarnation that has ended does not bind the gateway, also if its stream ends later", async () => {
    assert.equal(breakNotice(createOracle(), true), []);
    const oracle = createOracle();
    recordRequest(oracle);
    oracle.recordArrival(sent, "engine1");
    await pause(5);
    oracle.forgetServer("engine1");
    const request = createRequest();
    oracle.recordHead(request, head);
    oracle.recordResponse(request, { ...head, body: "", isComplete: false });
    oracle.recordRequest({ ...request, id: "b", sentAt: performance.now() + platformLimits.drain + 1 });
    oracle.recordArrival({ ...sent, callerAttemptId: "b" }, "engine1");
    assert.equal(oracle.violations, []);
});

test("a request that every configuration allows and that is denied breaks the promise", () => {
    for (const status of [401, 404]) {
        const oracle = createOracle();
        oracle.recordResponse(createRequest(), { ...head, status, body: "", isComplete: true });
        assert.equal(oracle.violations.map(({ promise }) => promise), ["allowed_requests_are_not_denied"]);
    }
});

test("a request that a sound server got and that ends without an answer breaks the promise", () => {
    const [oracle, other, third] = [createOracle(), createOracle(), createOracle()];
    [oracle, other, third].forEach(each => each.recordArrival(sent, "engine1"));
    oracle.recordResponse(createRequest(), undefined);
    other.faultRecord.recordProcessFault("workers", 1_000);
    other.recordResponse(createRequest(), undefined);
    third.recordResponse(createRequest(), { ...head, status: 502, body: "", isComplete: true });
    assert.equal(oracle.violations.map(({ promise }) => promise), ["read_requests_are_answered"]);
    assert.equal([...other.violations, ...third.violations], []);
});

test("an answer that its server completed and that breaks off breaks the promise", () => {
    const oracle = createOracle();
    recordRequest(oracle);
    oracle.recordArrival(sent, "engine1");
    recordRun(oracle, "engine1", { isComplete: true, endedAt: performance.now() });
    oracle.recordResponse(createRequest(), { ...head, body: "", isComplete: false });
    assert.equal(oracle.violations.map(({ promise }) => promise), ["read_requests_are_answered"]);
});

interface StopTrial {
    /** Milliseconds after the request to stop at which the request was sent, and at which it ends. */
    readonly sent: number;
    readonly ended: number;
    readonly isServerRunning?: boolean;
    readonly prepare?: (oracle: SoakOracle) => void;
}

/** Cuts a stream in a planned stop while its server is at work, and returns the promises that are broken. */
function cutInStop({ sent: sentAfter, ended, isServerRunning, prepare = () => undefined }: StopTrial): string[] {
    const oracle = createOracle(true, isServerRunning);
    const stopRequestedAt = performance.now() - ended;
    const request = createRequest({
        gateway: { ...gateway, stopRequestedAt },
        sentAt: stopRequestedAt + sentAfter,
    });
    oracle.recordRequest(request);
    oracle.recordArrival(sent, "engine1");
    recordRun(oracle, "engine1");
    prepare(oracle);
    oracle.recordResponse(request, { ...head, body: "", isComplete: false });
    return oracle.violations.map(({ promise }) => promise);
}

const lostInStop = ["read_requests_are_answered", "planned_stop_cuts_nothing"];

test("a stream that is sent late in a stop and cut at its end breaks the promise", () => {
    assert.equal(cutInStop({ sent: 5_500, ended: 7_750 }), lostInStop);
    assert.equal(cutInStop({ sent: 2_900, ended: 7_750 }), []);
    assert.equal(cutInStop({ sent: -500, ended: 6_000 }), lostInStop);
});

test("a request crosses the close of its connection only if its last byte was sent just before", () => {
    const promises = [100, 300].map(elapsed => {
        const oracle = createOracle();
        const now = performance.now();
        const request = createRequest({
            gateway: { ...gateway, stopRequestedAt: now - 5_000 },
            sentAt: now - 400,
            bodySentAt: now - elapsed,
        });
        oracle.recordRequest(request);
        oracle.recordResponse(request, undefined);
        return oracle.violations.map(({ promise }) => promise);
    });
    assert.equal(promises, [[], ["planned_stop_cuts_nothing"]]);
});

test("a probe of a route that is gone is not lost in a stop, while other requests with that answer are", () => {
    const promises = (["probe", "lookup"] as const).map(kind => {
        const oracle = createOracle();
        const now = performance.now();
        const request = createRequest({
            kind,
            gateway: { ...gateway, stopRequestedAt: now - 3_000 },
            sentAt: now - 700,
        });
        oracle.recordRequest(request);
        oracle.recordResponse(request, { ...head, status: 404, body: "", isComplete: true });
        return oracle.violations.map(({ promise }) => promise);
    });
    assert.equal(promises, [[], ["allowed_requests_are_not_denied", "planned_stop_cuts_nothing"]]);
});

test("the end of its server or a fault excuses a stream that is cut at the end of a stop", () => {
    assert.equal(cutInStop({ sent: 5_500, ended: 7_750, isServerRunning: false }), []);
    const recordFault = ({ faultRecord }: SoakOracle): void => faultRecord.recordProcessFault("workers", 1_000);
    assert.equal(cutInStop({ sent: 5_500, ended: 7_750, prepare: recordFault }), []);
});

test("the planned restart of another gateway excuses nothing", () => {
    const recordRestart = ({ faultRecord }: SoakOracle): void => faultRecord.recordPlannedRestart("slot-1", 300);
    assert.equal(cutInStop({ sent: 5_500, ended: 7_750, prepare: recordRestart }), lostInStop);
});

test("new connections go to gateways in rotation, and to all if these are fewer than half", () => {
    const balancer = new SoakBalancer<string>();
    const gateways = ["a", "b", "c", "d"];
    gateways.forEach(each => balancer.recordCheck(each, true));
    const checkTwice = (name: string): void => [1, 2].forEach(() => balancer.recordCheck(name, false));
    balancer.recordCheck("a", false);
    assert.equal(balancer.available(gateways), gateways);
    ["a", "b"].forEach(checkTwice);
    assert.equal(balancer.available(gateways), ["c", "d"]);
    checkTwice("c");
    assert.equal(balancer.available(gateways), gateways);
    ["a", "b"].forEach(each => balancer.recordCheck(each, true));
    assert.equal(balancer.available(gateways), ["a", "b", "d"]);
});

/** The promises that are broken where a caller gets a text, of which each run of its request went on after an event. */
function breakByStream(body: string, isComplete: boolean, overrides: Partial<SoakRequest> = {}): string[] {
    const oracle = createOracle(false);
    const request = createRequest({ kind: "note", events: 3, ...overrides });
    oracle.recordRequest(request);
    recordRun(oracle, "engine1", { path: "/note/1" });
    recordRun(oracle, "engine2", { path: "/note/1", lineage: "engine2/a/2" });
    const head = { status: 200, server: "engine1", declaresLimit: false, isServerLeaving: false, isSealed: true };
    oracle.recordResponse(request, { ...head, body, isComplete });
    return oracle.violations.map(({ promise }) => promise);
}

const piece = (id: number, lineage = "engine1/a/0"): string => `id: ${id}\ndata: 1:${lineage}\n\n`;
const firstPieces = piece(1) + piece(2);

test("a stream is checked byte by byte, and its runs where they go on", () => {
    const inOrder = ["events_once_in_order_one_run"];
    const cases: readonly (readonly [string, boolean, readonly string[]])[] = [
        [firstPieces + piece(3), true, []],
        [firstPieces + piece(3, "engine2/a/2"), true, []],
        [`${firstPieces}id: 3\ndata: 1:eng`, false, []],
        [`${firstPieces}id:`, false, []],
        [`${firstPieces}id: 3\ndata: 1:eng\nid: 3`, false, inOrder],
        [`${firstPieces}HTTP/1.1 200 OK\r\n\r\n`, false, inOrder],
        [`${firstPieces}${piece(3)}\n`, true, inOrder],
        [piece(1) + piece(2, "engine2/a/2") + piece(3, "engine2/a/2"), true, inOrder],
        [firstPieces + piece(3, "engine3/a/2"), true, inOrder],
    ];
    for (const [body, isComplete, promises] of cases) {
        assert.equal([...new Set(breakByStream(body, isComplete))], promises, JSON.stringify(body));
    }
});

test("a request that takes up a stream gets a run that goes on after the last event that its caller has", () => {
    const broken = createRequest({ kind: "note", events: 3, lastEvent: 2 });
    assert.equal(breakByStream(piece(3, "engine2/a/2"), true, { takesUp: broken }), []);
    assert.equal(breakByStream(piece(3), true, { takesUp: broken }), ["events_once_in_order_one_run"]);
});

test.run();
