import { type GatewayEffect, indexRoutes, type StreamRegisterCall } from "@verbenaspring/gateway";
import { identifier, type PeerAddress, type ServiceName, type SoftwareVersion } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    engineService,
    eventId,
    eventsIn,
    failuresIn,
    kindsIn,
    routes,
    server,
    TestGateway,
} from "./gatewayBuilders.js";

const otherService = identifier<never>("other");

const version = (text: string): SoftwareVersion => identifier(text);

function engine(number: number, softwareVersion: string) {
    return server(`engine-${number}`, { softwareVersion: version(softwareVersion) });
}

/** A gateway whose base version is v1, and whose calls to the register the test answers. */
function gatewayWithBase(...servers: ReturnType<typeof engine>[]): TestGateway {
    const gateway = TestGateway.serving(...servers);
    gateway.advance(50);
    gateway.streamRegister = undefined;
    read(gateway);
    return gateway;
}

function read(gateway: TestGateway, ...recorded: { readonly id: string; readonly softwareVersion: string; }[]) {
    return gateway.handle({
        kind: "streamRegisterRead",
        page: {
            baseVersions: [{ service: engineService, softwareVersion: version("v1") }],
            baseEnd: 1,
            records: recorded.map(({ id, softwareVersion }) => ({
                service: engineService,
                softwareVersion: version(softwareVersion),
                attempts: [identifier(id)],
            })),
            next: recorded.length,
        },
    });
}

function registerCalls(effects: readonly GatewayEffect[]): StreamRegisterCall[] {
    return effects.flatMap(effect => effect.kind === "callStreamRegister" ? [effect.call] : []);
}

const takeUp = (id: string) => ({ lastEvent: eventId(3), resumedAttemptId: identifier<never>(id) });

test("a stream of the base version needs no record", () => {
    const gateway = gatewayWithBase(engine(1, "v1"));
    const call = gateway.sendRequest("r", "note");
    gateway.openStream(call);
    const effects = gateway.receiveEvents(call, 1);
    assert.equal([eventsIn(effects), registerCalls(effects)], [[1], []]);
});

test("events of a stream of another version are passed on once its record is stored, also if it has ended", () => {
    const gateway = gatewayWithBase(engine(2, "v2"));
    const call = gateway.sendRequest("r", "note");
    gateway.openStream(call);
    const first = gateway.receiveEvents(call, 1);
    assert.equal(eventsIn(first), []);
    const records = [{ service: engineService, softwareVersion: version("v2"), attempts: [identifier<never>("r")] }];
    assert.equal(registerCalls(first), [{ kind: "record", records }]);
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), []);
    assert.equal(kindsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId })), []);
    const recorded = gateway.handle({ kind: "streamsRecorded", isRecorded: true });
    assert.equal(kindsIn(recorded), ["answerHead", "answerEvents", "answerEnd"]);
    assert.equal(eventsIn(recorded), [1, 2]);
    assert.is(gateway.state.requests.size, 0);
});

/** A stream of another version whose events a planned stop has kept until the last one, and whose record is not stored. */
function heldInStop() {
    const gateway = gatewayWithBase(engine(2, "v2"));
    const earlier = gateway.startStream("earlier", "note");
    gateway.handle({ kind: "streamsRecorded", isRecorded: true });
    gateway.handle({ kind: "streamEnded", attemptId: earlier.attemptId });
    gateway.handle({ kind: "answerTaken", requestId: identifier("earlier") });
    gateway.handle({ kind: "stopRequested" });
    // Keeps the process running.
    gateway.handle({ kind: "unsentAnswers", count: 1 });
    gateway.advance(3_000);
    const call = gateway.startStream("late", "note", { maximumTokens: 17 });
    const end = () => gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    const record = () => gateway.handle({ kind: "streamsRecorded", isRecorded: true });
    return { gateway, end, record };
}

test("a stream that a planned stop holds until its end is passed on once it has ended and its record is stored", () => {
    for (const isRecordedFirst of [true, false]) {
        const { end, record } = heldInStop();
        const [first, second] = isRecordedFirst ? [record(), end()] : [end(), record()];
        assert.equal([kindsIn(first), eventsIn(second), kindsIn(second).at(-1)], [[], [1], "answerEnd"]);
    }
});

// Its caller got a failure, though the gateway had the whole answer, which no caller takes up.
test("a whole stream whose record is not stored is passed on when its time or that of a planned stop is over", () => {
    const { gateway, end } = heldInStop();
    end();
    const stopped = gateway.advance(4_600);
    assert.equal([failuresIn(stopped), eventsIn(stopped), kindsIn(stopped).at(-1)], [[], [1], "answerEnd"]);

    const other = gatewayWithBase(engine(2, "v2"));
    const call = other.startStream("r", "note");
    other.handle({ kind: "streamEnded", attemptId: call.attemptId });
    const late = other.advance(6_000);
    assert.equal([failuresIn(late), eventsIn(late)], [[], [1]]);
});

test("streams that begin while records are stored are recorded together afterwards", () => {
    const gateway = gatewayWithBase(engine(2, "v2"));
    gateway.startStream("r1", "note");
    gateway.startStream("r2", "note");
    gateway.startStream("r3", "note");
    const [next] = registerCalls(gateway.handle({ kind: "streamsRecorded", isRecorded: true }));
    assert.ok(next.kind === "record");
    assert.equal(next.records.flatMap(({ attempts }) => attempts), ["r2", "r3"]);
});

test("a stream whose record may be stored does not begin again at another version", () => {
    const gateway = gatewayWithBase(engine(2, "v2"));
    gateway.startStream("r", "note");
    gateway.register(engine(1, "v1"));
    const effects = gateway.handle({ kind: "streamsRecorded", isRecorded: false });
    assert.equal([callsIn(effects), eventsIn(effects)], [[], []]);
});

test("a stream whose record can't be stored is kept, recorded again, and passed on once it is whole", () => {
    const gateway = gatewayWithBase(engine(2, "v2"));
    const call = gateway.startStream("r", "note");
    const refused = gateway.handle({ kind: "streamsRecorded", isRecorded: false });
    assert.equal([eventsIn(refused), registerCalls(refused)], [[], []], "not again at once");
    assert.is(registerCalls(gateway.advance(500)).filter(({ kind }) => kind === "record").length, 1);
    gateway.handle({ kind: "streamsRecorded", isRecorded: false });
    gateway.receiveEvents(call, 2);
    const ended = gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.equal([eventsIn(ended), kindsIn(ended).at(-1)], [[1, 2], "answerEnd"]);
});

test("a take-up goes to the version of its record, and without a record to the base version", () => {
    const gateway = gatewayWithBase(engine(1, "v1"), engine(2, "v2"));
    const waiting = [
        ...gateway.receiveRequest("t1", "note", takeUp("recorded")),
        ...gateway.receiveRequest("t2", "note", takeUp("other")),
    ];
    assert.equal([callsIn(waiting), registerCalls(waiting)], [[], [{ kind: "read", from: 0 }]]);
    const [first] = callsIn(read(gateway, { id: "recorded", softwareVersion: "v2" }));
    assert.equal([first.backendServer, Number(first.lastEvent)], ["engine-2", 3]);
    // The second one arrived after that read had started.
    const [second] = callsIn(read(gateway));
    assert.is(second.backendServer, "engine-1");
});

// Only the next whole number was accepted, so that a stream whose ids count tokens could not be taken up.
test("a take-up is passed on whose ids increase by more than 1, and the run that follows by steps of that length", () => {
    const gateway = gatewayWithBase(engine(1, "v1"), engine(2, "v1"));
    gateway.receiveRequest("t", "note", takeUp("other"));
    const [call] = callsIn(read(gateway));
    gateway.openStream(call);
    assert.equal(eventsIn(gateway.receiveEvents(call, 7, 11)), [7, 11]);
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 15, 19)), [15, 19]);
});

test("a take-up whose first id increases by more than that of the run before it ends that run", () => {
    const gateway = gatewayWithBase(engine(1, "v1"), engine(2, "v1"));
    gateway.receiveRequest("t", "note", takeUp("other"));
    const [call] = callsIn(read(gateway));
    gateway.openStream(call);
    gateway.receiveEvents(call, 4);
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.openStream(next);
    assert.equal(eventsIn(gateway.receiveEvents(next, 6, 7)), []);
});

test("a gateway that read the register before a service had a base version reads it again", () => {
    const gateway = TestGateway.serving(engine(1, "v1"));
    gateway.streamRegister = undefined;
    gateway.advance(50);
    gateway.handle({
        kind: "streamRegisterRead",
        page: { baseVersions: [], baseEnd: 0, records: [], next: 0 },
    });
    // Another gateway writes it.
    gateway.receiveReport({ address: identifier<PeerAddress>("10.0.0.1:8748") });
    assert.ok(registerCalls(gateway.advance(1_000)).some(({ kind }) => kind === "read"));
});

// Nothing bounded what a stream without end kept while the store did not answer.
test("a stream that keeps too much while its record is not stored fails, once, and is not answered as not run", () => {
    for (const hasGapAtEnd of [false, true]) {
        const gateway = gatewayWithBase(engine(2, "v2"));
        const call = gateway.startStream("r", "note");
        const ids = Array.from({ length: 1_800 }, (_, index) => index + 2);
        assert.equal(failuresIn(gateway.receiveEvents(call, ...ids)), []);
        const rest = Array.from({ length: 400 }, (_, index) => index + 1_802);
        const effects = gateway.receiveEvents(call, ...rest, ...(hasGapAtEnd ? [9_000] : []));
        assert.equal(failuresIn(effects).map(({ type, outcome }) => [type, outcome]), [
            ["log_unavailable", "outcome_unknown"],
        ]);
        assert.equal([gateway.state.requests.size, gateway.state.loads.size], [0, 0]);
    }
});

test("a take-up of a stream that began here needs no read", () => {
    const gateway = gatewayWithBase(engine(2, "v2"));
    gateway.startStream("r", "note");
    gateway.handle({ kind: "streamsRecorded", isRecorded: true });
    gateway.register(engine(1, "v1"));
    const effects = gateway.receiveRequest("t", "note", takeUp("r"));
    assert.equal([callsIn(effects)[0].backendServer, registerCalls(effects)], ["engine-2", []]);
});

test("a take-up is refused at once, as not run, when no server of its version is left or the store can't be read", () => {
    const gateway = gatewayWithBase(engine(2, "v2"));
    gateway.receiveRequest("t1", "note", takeUp("other"));
    const [gone] = failuresIn(read(gateway));
    assert.is(gone.outcome, "not_run");
    gateway.receiveRequest("t2", "note", takeUp("other"));
    const [unreadable] = failuresIn(gateway.handle({ kind: "streamRegisterReadFailed" }));
    assert.is(unreadable.outcome, "not_run");
    assert.ok(unreadable.retryAfter! > 0);
});

/** A route to two services that have the same versions; nearly all new streams go to the favoured one. */
function gatewayWithTwoServices(favoured: ServiceName): TestGateway {
    const gateway = gatewayWithBase(engine(1, "v1"), { ...engine(2, "v1"), service: otherService });
    const targets = [engineService, otherService].map(service => ({
        service,
        weight: service === favoured ? 1 : 1e-9,
    }));
    const note = routes.find(({ name }) => name === "note")!;
    const { services } = configuration(1);
    gateway.configure(configuration(2, {
        routesByHost: indexRoutes([{ ...note, targets }]),
        services: new Map([...services, [otherService, { ...services.get(engineService)!, name: otherService }]]),
    }));
    return gateway;
}

test("a take-up goes to the service that began the stream, of which a route to several has a record", () => {
    for (const [began, favoured] of [[engineService, otherService], [otherService, engineService]]) {
        const gateway = gatewayWithTwoServices(began);
        const call = gateway.sendRequest("r", "note");
        gateway.openStream(call);
        const [record] = registerCalls(gateway.receiveEvents(call, 1));
        assert.ok(record.kind === "record", "although it is the base version");
        const restarted = gatewayWithTwoServices(favoured);
        restarted.receiveRequest("t", "note", takeUp("r"));
        const baseVersions = [began, favoured].map(service => ({ service, softwareVersion: version("v1") }));
        const page = { baseVersions, baseEnd: 2, records: record.records, next: 1 };
        const [again] = callsIn(restarted.handle({ kind: "streamRegisterRead", page }));
        assert.is(again.backendServer, call.backendServer);
    }
});

test("a take-up is refused when its route no longer leads to the service that began the stream", () => {
    const gateway = gatewayWithBase(engine(1, "v1"));
    gateway.receiveRequest("t", "note", takeUp("r"));
    const records = [{ service: otherService, softwareVersion: version("v1"), attempts: [identifier<never>("r")] }];
    const page = {
        baseVersions: [{ service: engineService, softwareVersion: version("v1") }],
        baseEnd: 1,
        records,
        next: 1,
    };
    const effects = gateway.handle({ kind: "streamRegisterRead", page });
    assert.equal([callsIn(effects), failuresIn(effects)[0].outcome], [[], "not_run"]);
});

// A stream that another gateway began has no record there, and went on at the service that the route leads to now.
test("a take-up of a stream without a record is refused while its route may have led elsewhere when it began", () => {
    const gateway = gatewayWithTwoServices(engineService);
    const note = routes.find(({ name }) => name === "note")!;
    const { services } = configuration(1);
    const baseVersions = [engineService, otherService].map(service => ({ service, softwareVersion: version("v1") }));
    const page = { baseVersions, baseEnd: 2, records: [], next: 0 };
    const callsOfTakeUp = (id: string) => [
        ...callsIn(gateway.receiveRequest(id, "note", takeUp("r"))),
        // A read that began before the request may be in progress.
        ...callsIn(gateway.handle({ kind: "streamRegisterRead", page })),
        ...callsIn(gateway.handle({ kind: "streamRegisterRead", page })),
    ];
    const moveTo = (configurationVersion: number, service: ServiceName, timeout: number) =>
        gateway.configure(configuration(configurationVersion, {
            routesByHost: indexRoutes([{ ...note, timeout, targets: [{ service, weight: 1 }] }]),
            services: new Map([...services, [otherService, { ...services.get(engineService)!, name: otherService }]]),
        }));
    moveTo(3, engineService, note.timeout);
    const lifetime = 2 * note.timeout + 2_000;
    gateway.advance(lifetime);
    moveTo(4, otherService, note.timeout);
    assert.equal(callsOfTakeUp("t1"), []);
    gateway.advance(lifetime);
    moveTo(5, otherService, note.timeout + 1_000);
    assert.equal(callsOfTakeUp("t2").map(({ backendServer }) => backendServer), ["engine-2"]);
});

// The caller got the stream from its first event on, after the events that it had.
test("a take-up is refused, as not run, where the configuration does not allow the route's streams to be resumed", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const effects = gateway.receiveRequest("t", "plan", { lastEvent: eventId(3) });
    assert.equal([callsIn(effects), failuresIn(effects).map(({ type, outcome }) => [type, outcome])], [
        [],
        [["no_backend_server", "not_run"]],
    ]);
    for (const head of [{ lastEvent: eventId(0) }, { resumedAttemptId: identifier<never>("r") }]) {
        assert.is(callsIn(gateway.receiveRequest(`t${Object.keys(head)[0]}`, "plan", head)).length, 1);
    }
    gateway.register(server("plain-2"));
    assert.is(callsIn(gateway.receiveRequest("c", "lookup", { lastEvent: eventId(3) })).length, 1, "no stream");
});

test("a take-up that does not name the first attempt is served only while no other version has begun streams", () => {
    const gateway = gatewayWithBase(engine(1, "v1"));
    gateway.receiveRequest("t1", "note", { lastEvent: eventId(3) });
    assert.is(callsIn(read(gateway)).length, 1);
    gateway.receiveRequest("t2", "note", { lastEvent: eventId(3) });
    const effects = read(gateway, { id: "r", softwareVersion: "v2" });
    assert.equal([callsIn(effects).length, failuresIn(effects)[0].outcome], [0, "not_run"]);
});

// It was refused for as long as the process lived.
test("a take-up that does not name the first attempt is served again a stream's lifetime after the last other version", () => {
    const gateway = gatewayWithBase(engine(1, "v1"));
    const isServed = (id: string): boolean => {
        gateway.receiveRequest(id, "note", { lastEvent: eventId(3) });
        return callsIn(read(gateway)).length === 1;
    };
    read(gateway, { id: "r", softwareVersion: "v2" });
    gateway.advance(13_000);
    assert.not(isServed("t1"), "while its stream may be taken up");
    gateway.advance(2_000);
    gateway.register({ ...engine(1, "v1"), heartbeat: gateway.now });
    assert.ok(isServed("t2"));
});

test("the base version is replaced once none of its servers was registered for the lifetime of a stream", () => {
    const gateway = gatewayWithBase(engine(1, "v1"), engine(2, "v2"));
    const written = (duration: number): StreamRegisterCall[] => {
        const calls: StreamRegisterCall[] = [];
        for (let elapsed = 0; elapsed < duration; elapsed += 1_000) {
            gateway.register({ ...engine(2, "v2"), heartbeat: gateway.now });
            calls.push(...registerCalls(gateway.advance(1_000)));
        }
        return calls;
    };
    assert.equal(written(30_000), [], "while it is in service");
    gateway.remove("engine-1");
    assert.equal(written(13_000), [], "while its streams may be taken up");
    const [write] = written(3_000);
    assert.equal(write, {
        kind: "writeBase",
        baseVersion: { service: engineService, softwareVersion: version("v2") },
        at: 1,
    });
});

test.run();
