/**
 * Requests, and parts of prompts, under which servers crash. A crash is known by a run that was lost before it began, at a
 * server that does not answer a probe.
 */
import {
    type BackendCall,
    type GatewayEffect,
    identifyRepeats,
    type PeerCrashSuspect,
    type RequestHead,
    type ServerReport,
} from "@verbenaspring/gateway";
import {
    type ContentDigest,
    identifier,
    type OrganisationId,
    type PeerAddress,
    type PromptPartId,
} from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, kindsIn, requestId, server, TestGateway } from "./gatewayBuilders.js";

const deadly = identifier<PromptPartId>("deadly");
const shared = identifier<PromptPartId>("shared");
const first = identifier<PromptPartId>("first");
/** A prompt that begins with the part that all have. */
const withParts = (...parts: readonly PromptPartId[]): Partial<RequestHead> => ({ sharedParts: [first, ...parts] });
const aliveReport: ServerReport = { runs: [], isLeaving: false, startedAt: undefined };
const betweenCrashes = 1_000;

function gatewayWithEngines(): TestGateway {
    return TestGateway.serving(...[1, 2, 3, 4, 5, 6].map(number => server(`engine-${number}`)));
}

const probed = (call: BackendCall, report: ServerReport | undefined) =>
    ({ kind: "serverProbed", backendServer: call.backendServer, report }) as const;

let startCount = 0;

/** Loses a run before its first event. Its server has crashed and starts again, and its caller leaves. */
function crash(gateway: TestGateway, call: BackendCall): GatewayEffect[] {
    const effects = [...gateway.failAttempt(call), ...gateway.handle(probed(call, undefined))];
    gateway.register(server(call.backendServer, { startedAt: ++startCount }));
    gateway.handle({ kind: "callerLeft", requestId: requestId(call.head.callerAttemptId) });
    return effects;
}

/** Has requests with the parts crash one server after the other, each request sent only once. */
function crashServers(gateway: TestGateway, count: number, ...parts: readonly PromptPartId[]): void {
    for (let number = 0; number < count; number++) {
        crash(gateway, gateway.sendRequest(`crash${number}/${gateway.now}`, "plan", withParts(...parts)));
        gateway.advance(betweenCrashes);
    }
}

const isSent = (gateway: TestGateway, ...parts: readonly PromptPartId[]): boolean =>
    callsIn(gateway.receiveRequest(`r${gateway.now}`, "plan", withParts(...parts))).length > 0;

const suspectsIn = (effects: readonly GatewayEffect[]): PeerCrashSuspect[] =>
    effects.flatMap(effect => effect.kind === "sendReport" ? effect.report.crashSuspects : []);

test("a request is refused at once after two servers crashed under a part of its prompt, others are not", () => {
    const gateway = gatewayWithEngines();
    crashServers(gateway, 1, shared, deadly);
    assert.ok(isSent(gateway, shared, deadly), "one crash may have another cause");
    crashServers(gateway, 1, shared, deadly);
    const [refusal] = failuresIn(gateway.receiveRequest("refused", "plan", withParts(deadly)));
    assert.equal([refusal.type, refusal.outcome], ["request_suspended", "not_run"]);
    assert.ok(refusal.retryAfter! > 10_000);
    assert.ok(isSent(gateway, identifier("other")));
});

test("a part with which a run begins is cleared", () => {
    const gateway = gatewayWithEngines();
    crashServers(gateway, 1, shared, deadly);
    gateway.startStream("begins", "plan", withParts(shared));
    crashServers(gateway, 1, shared, deadly);
    assert.is(isSent(gateway, shared, deadly), false);
    assert.ok(isSent(gateway, shared));
});

test("a lost run blames nothing if its server answers the probe", () => {
    const gateway = gatewayWithEngines();
    for (let count = 0; count < 3; count++) {
        const call = gateway.sendRequest(`lost${count}`, "plan", withParts(deadly));
        assert.ok(kindsIn(gateway.failAttempt(call)).includes("probeServer"));
        gateway.handle(probed(call, aliveReport));
        gateway.advance(betweenCrashes);
    }
    assert.ok(isSent(gateway, deadly));
});

test("a server that has restarted before the probe has crashed", () => {
    const gateway = TestGateway.serving(server("engine-1", { startedAt: 5 }), server("engine-2", { startedAt: 6 }));
    for (let count = 0; count < 2; count++) {
        const call = gateway.sendRequest(`lost${count}`, "plan", withParts(deadly));
        gateway.failAttempt(call);
        const startedAt = 70 + count;
        gateway.handle(probed(call, { ...aliveReport, startedAt }));
        gateway.advance(betweenCrashes);
        gateway.register(server(call.backendServer, { startedAt }));
    }
    assert.is(isSent(gateway, deadly), false);
});

type Leaving = (gateway: TestGateway, id: string) => void;

const drains: Leaving = (gateway, id) => void gateway.register(server(id, { isDraining: true, heartbeat: 2 }));

/** Has requests with a part wait at one server after the other, each of which leaves and ends after a time. */
function loseAtLeavingServers(leave: Leaving, endsAfter: number): TestGateway {
    const gateway = gatewayWithEngines();
    for (let count = 0; count < 3; count++) {
        const id = `lost${count}`;
        const call = gateway.sendRequest(id, "plan", withParts(deadly), "one content");
        if (call === undefined) {
            return gateway;
        }
        gateway.read("backendServers", []);
        leave(gateway, call.backendServer);
        gateway.advance(endsAfter);
        gateway.failAttempt(call);
        gateway.handle(probed(call, undefined));
        gateway.handle({ kind: "callerLeft", requestId: requestId(id) });
    }
    return gateway;
}

// Two exits under a prompt that waited at each of the servers suspended the prompt, and all that repeat it.
test("planned exits blame nothing, however many there are", () => {
    const leavings: readonly Leaving[] = [
        drains,
        (gateway, id) => gateway.remove(id),
        (gateway, id) => {
            const report = { ...aliveReport, isLeaving: true };
            gateway.handle({ kind: "serverProbed", backendServer: identifier<never>(id), report });
        },
    ];
    for (const leave of leavings) {
        const gateway = loseAtLeavingServers(leave, 4_000);
        assert.is(gateway.state.crashSuspects.suspects.size, 0);
        assert.ok(isSent(gateway, deadly));
    }
});

// The drain limit was counted from when the notice was learnt, though the platform may have acknowledged the leaving before.
test("a planned exit blames nothing if the notice of it came late", () => {
    const gateway = gatewayWithEngines();
    for (let count = 0; count < 2; count++) {
        const call = gateway.sendRequest(`lost${count}`, "plan", withParts(deadly));
        gateway.read("backendServers", []);
        gateway.advance(1_500);
        gateway.receiveReport({ leavingServers: [{ backendServer: call.backendServer, startedAt: undefined }] });
        gateway.advance(700);
        crash(gateway, call);
        gateway.advance(betweenCrashes);
    }
    assert.ok(isSent(gateway, deadly));
    assert.is(gateway.state.crashSuspects.suspects.size, 0);
});

test("a server that leaves and has restarted under its id blames nothing", () => {
    const gateway = TestGateway.serving(server("engine-1", { startedAt: 5 }));
    const call = gateway.sendRequest("lost", "plan", withParts(deadly));
    gateway.register(server("engine-1", { startedAt: 5, isDraining: true, heartbeat: 2 }));
    gateway.advance(4_000);
    gateway.register(server("engine-1", { startedAt: 6 }));
    gateway.failAttempt(call);
    assert.is(gateway.state.crashSuspects.suspects.size, 0);
});

test("a server that leaves and ends while it was certain to run has crashed", () => {
    const gateway = loseAtLeavingServers(drains, 1_000);
    assert.is(isSent(gateway, deadly), false);
});

test("a lost run whose server wants no calls is not probed, and forgotten", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("lost", "plan", withParts(deadly));
    gateway.state.pausedUntil.set(call.backendServer, gateway.now + 60_000);
    assert.not.ok(kindsIn(gateway.failAttempt(call)).includes("probeServer"));
    gateway.advance(1_100);
    assert.is(gateway.state.crashSuspects.lostRuns.size, 0);
});

test("runs that had begun blame nothing", () => {
    const gateway = gatewayWithEngines();
    for (let count = 0; count < 3; count++) {
        crash(gateway, gateway.startStream(`begun${count}`, "plan", withParts(shared)));
        gateway.advance(betweenCrashes);
    }
    assert.is(gateway.state.crashSuspects.suspects.size, 0);
});

test("servers that crash together suspend no part", () => {
    const gateway = gatewayWithEngines();
    const calls = [1, 2, 3, 4].map(number => gateway.sendRequest(`r${number}`, "plan", withParts(shared)));
    calls.forEach(call => crash(gateway, call));
    assert.ok(isSent(gateway, shared));
});

test("the first part of prompts is suspended after four crashes, although none with it ever began", () => {
    const gateway = gatewayWithEngines();
    ["a", "b", "c"].forEach(part => crashServers(gateway, 1, identifier(part)));
    assert.ok(isSent(gateway, shared));
    crash(gateway, gateway.sendRequest("fourth", "plan", withParts()));
    assert.is(isSent(gateway, shared), false);
});

test("crashes under a rare part that is suspended do not count against the parts that all share", () => {
    const gateway = gatewayWithEngines();
    ["a", "a", "b", "b", "c", "c"].forEach(part => crashServers(gateway, 1, identifier(part)));
    assert.ok(isSent(gateway, shared));
    assert.is(isSent(gateway, identifier("c")), false);
});

test("a part that began before is suspended after four crashes, and tried again a second later", () => {
    const gateway = gatewayWithEngines();
    gateway.startStream("begins", "plan", withParts(shared));
    crashServers(gateway, 3, shared);
    crash(gateway, gateway.sendRequest("fourth", "plan", withParts(shared)));
    assert.is(isSent(gateway, shared), false);
    gateway.advance(betweenCrashes);
    assert.ok(isSent(gateway, shared));
});

test("a lost run is not repeated at a third server", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("repeated", "note", withParts(deadly));
    const [second] = callsIn(gateway.failAttempt(call));
    assert.ok(second, "the repeat shows whether the part is to blame");
    gateway.handle(probed(call, undefined));
    gateway.advance(betweenCrashes);
    assert.equal(callsIn(gateway.failAttempt(second)), []);
});

test("what one gateway learns holds at the others, and a run that begins there clears it here", () => {
    const gateway = gatewayWithEngines();
    gateway.receiveReport({});
    const call = gateway.sendRequest("call", "plan", withParts(deadly));
    const [reported] = suspectsIn(crash(gateway, call)).filter(({ id }) => id === deadly);
    assert.equal([reported.id, reported.isCommon, reported.crashes.length], [deadly, false, 1]);
    gateway.advance(betweenCrashes);
    const crashes = [{ backendServer: identifier<never>("engine-9"), startedAt: 3, age: 20, isCleared: false }];
    const other = { id: deadly, isCommon: false, crashes };
    assert.equal(suspectsIn(gateway.receiveReport({ crashSuspects: [other] }))[0].crashes.length, 2, "passed on");
    assert.equal(suspectsIn(gateway.receiveReport({ crashSuspects: [other] })), [], "once");
    assert.is(isSent(gateway, deadly), false);
    const cleared = [...crashes, ...reported.crashes].map(each => ({ ...each, isCleared: true }));
    gateway.receiveReport({ crashSuspects: [{ id: deadly, isCommon: true, crashes: cleared }] });
    assert.ok(isSent(gateway, deadly));
});

test("a gateway that starts gets what the others know with the first report on its link", () => {
    const gateway = gatewayWithEngines();
    crashServers(gateway, 2, deadly);
    const known = suspectsIn([...gateway.receiveReport({}), ...gateway.advance(600)]);
    const [parts, requests] = [[first, deadly], [/^request:\/crash0\//, /^request:\/crash1\//]];
    assert.equal(parts.map(part => known.find(({ id }) => id === part)?.crashes.length), [2, 2]);
    assert.equal(requests.map(request => known.find(({ id }) => request.test(id))?.crashes.length), [1, 1]);
    assert.is(known.length, parts.length + requests.length);
});

test("runs with a suspended part that have not begun are ended, and streams that have begun go on", () => {
    const gateway = gatewayWithEngines();
    gateway.receiveReport({});
    const waits = gateway.sendRequest("waits", "plan", withParts(shared, deadly));
    const streams = gateway.startStream("streams", "plan", withParts(shared));
    const crashes = ["engine-8", "engine-9"].map((id, index) => ({
        backendServer: identifier<never>(id),
        startedAt: 3,
        age: 2_000 * index,
        isCleared: false,
    }));
    const effects = gateway.receiveReport({ crashSuspects: [{ id: deadly, isCommon: false, crashes }] });
    const cancelled = effects.flatMap(effect => effect.kind === "cancelAttempt" ? [effect.attemptId] : []);
    assert.equal(cancelled, [waits.attemptId]);
    assert.equal(failuresIn(effects).map(({ type, outcome }) => [type, outcome]), [
        ["request_suspended", "outcome_unknown"],
    ]);
    assert.ok(kindsIn(gateway.receiveEvents(streams, 2)).includes("answerEvents"));
});

test("after its pause a part is tried by one gateway after the other, with one run at a time", () => {
    const addresses = ["10.1.0.1:8748", "10.1.0.2:8748"].map(address => identifier<PeerAddress>(address));
    const gateways = addresses.map((address, index, all) => {
        const gateway = gatewayWithEngines();
        gateway.state.options = { ...gateway.state.options, peerAddress: address };
        gateway.receiveReport({ address: all[1 - index] });
        crashServers(gateway, 2, deadly);
        // In steps, since a gateway without events for seconds was suspended.
        for (let elapsed = 0; elapsed < 14_500; elapsed += 500) {
            gateway.now += 500;
            gateway.receiveReport({ address: all[1 - index] });
        }
        return gateway;
    });
    const areSent = gateways.map(gateway => isSent(gateway, deadly));
    assert.equal([...areSent].sort(), [false, true]);
    gateways.forEach(gateway => gateway.now += 10);
    assert.equal(gateways.map(gateway => isSent(gateway, deadly)), [false, false]);
    gateways.forEach((gateway, index) => {
        gateway.now += 1_500;
        gateway.receiveReport({ address: addresses[1 - index] });
    });
    assert.equal(gateways.map(gateway => isSent(gateway, deadly)), areSent.map(isFirst => !isFirst));
});

test("what is kept of parts is bounded, and forgotten half an hour after the last crash", () => {
    const gateway = gatewayWithEngines();
    gateway.receiveReport({});
    const crashes = Array.from({ length: 20 }, (_, index) => ({
        backendServer: identifier<never>(`engine-${index}`),
        startedAt: index,
        age: index,
        isCleared: false,
    }));
    const crashSuspects = Array.from({ length: 1_500 }, (_, index) => ({
        id: identifier<PromptPartId>(`part${index}`),
        isCommon: false,
        crashes,
    }));
    gateway.receiveReport({ crashSuspects });
    const { suspects, begunParts } = gateway.state.crashSuspects;
    for (let number = 0; number < 400; number++) {
        const parts = Array.from({ length: 30 }, (_, index) => identifier<PromptPartId>(`begun${number}/${index}`));
        const call = gateway.startStream(`begun${number}`, "plan", { sharedParts: parts });
        gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    }
    assert.is(begunParts.size, 8_192);
    assert.equal([suspects.size, suspects.get(identifier("part1499"))!.crashes.size], [1_024, 8]);
    gateway.now += 1_800_100;
    gateway.handle({ kind: "tick" });
    assert.is(suspects.size, 0);
});

function gatewayWithPlainServers(): TestGateway {
    return TestGateway.serving(server("plain-1"), server("plain-2"), server("plain-3"));
}

let lookupCount = 0;

/** Sends a lookup. Returns its call, or undefined if it was refused. */
function sendLookup(gateway: TestGateway, content: string, route = "lookup"): BackendCall | undefined {
    return callsIn(gateway.receiveRequest(`lookup${++lookupCount}`, route, {}, content))[0];
}

/** Has repeats of a request crash servers, each sent only once. */
function crashPlainServers(gateway: TestGateway, count: number, content: string, route?: string): void {
    for (let number = 0; number < count; number++) {
        crash(gateway, sendLookup(gateway, content, route)!);
        gateway.advance(betweenCrashes);
    }
}

// A request of a plain route crashed server after server, since only parts of prompts were suspects (BUDGET).
for (const route of ["lookup", "confirm"]) {
    test(`a ${route} is refused at once after two servers crashed under it, those with other contents are not`, () => {
        const gateway = gatewayWithPlainServers();
        crashPlainServers(gateway, 1, "deadly", route);
        assert.ok(sendLookup(gateway, "sound", route));
        crashPlainServers(gateway, 1, "deadly", route);
        const [refusal] = failuresIn(gateway.receiveRequest("refused", route, {}, "deadly"));
        assert.equal([refusal.type, refusal.outcome], ["request_suspended", "not_run"]);
        assert.ok(refusal.retryAfter! > 30_000);
        assert.ok(sendLookup(gateway, "sound", route));
    });
}

test("a request is not repeated after a second server crashed under it, and is said to may have run", () => {
    const gateway = gatewayWithPlainServers();
    crashPlainServers(gateway, 1, "deadly");
    const last = sendLookup(gateway, "deadly")!;
    const effects = [...gateway.failAttempt(last), ...gateway.handle(probed(last, undefined))];
    assert.equal(callsIn(effects), []);
    assert.equal(failuresIn(effects).map(({ type, outcome }) => [type, outcome]), [
        ["request_suspended", "outcome_unknown"],
    ]);
});

test("a whole answer clears a request of a plain route", () => {
    const gateway = gatewayWithPlainServers();
    crashPlainServers(gateway, 1, "sound");
    gateway.answer(sendLookup(gateway, "sound")!, { status: 200 });
    crashPlainServers(gateway, 1, "sound");
    assert.ok(sendLookup(gateway, "sound"));
});

test("a plain server is probed for its connections only, and has not crashed if it accepts one", () => {
    const gateway = gatewayWithPlainServers();
    for (let count = 0; count < 3; count++) {
        const call = sendLookup(gateway, "reset")!;
        const probes = gateway.failAttempt(call).filter(effect => effect.kind === "probeServer");
        assert.equal(probes.map(effect => effect.kind === "probeServer" && effect.hasReport), [false]);
        gateway.handle(probed(call, aliveReport));
        gateway.advance(betweenCrashes);
    }
    assert.ok(sendLookup(gateway, "reset"));
});

test("a request that crashed a server at one gateway and another one at a second is refused at both", () => {
    const [one, other] = [gatewayWithPlainServers(), gatewayWithPlainServers()];
    one.receiveReport({});
    const [reported] = suspectsIn(crash(one, sendLookup(one, "deadly")!));
    // The servers of the two gateways are different ones, though they have the same names.
    const crashes = reported.crashes.map(each => ({ ...each, backendServer: identifier<never>("plain-9") }));
    crashPlainServers(other, 1, "deadly");
    assert.ok(sendLookup(other, "deadly"));
    other.receiveReport({ crashSuspects: [{ ...reported, crashes }] });
    assert.is(sendLookup(other, "deadly"), undefined);
});

test("a request that is suspended is not forgotten for many that were at a server which crashed once", () => {
    const gateway = gatewayWithPlainServers();
    crashPlainServers(gateway, 2, "deadly");
    const crashes = [{ backendServer: identifier<never>("plain-9"), startedAt: 3, age: 0, isCleared: false }];
    const single = (_: unknown, index: number): PeerCrashSuspect => ({
        id: identifier<PromptPartId>(`part${index}`),
        isCommon: false,
        crashes,
    });
    gateway.receiveReport({ crashSuspects: Array.from({ length: 1_500 }, single) });
    assert.is(gateway.state.crashSuspects.suspects.size, 1_024);
    assert.is(sendLookup(gateway, "deadly"), undefined);
});

test("requests of different organisations with the same content are not repeats of each other", () => {
    const digest = identifier<ContentDigest>("digest");
    const [one, other, none] = [identifier<OrganisationId>("one"), identifier<OrganisationId>("other"), undefined];
    const ids = [one, other, none].map(organisation => identifyRepeats(organisation, digest));
    assert.is(new Set(ids).size, 3);
});

test.run();
