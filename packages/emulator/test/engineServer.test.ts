import {
    type CallObserver,
    type EngineOptions,
    EngineServer,
    type MigrationOutcome,
    PlainServer,
    type RunEvent,
    type ServerCall,
    type ServerRun,
    VirtualClock,
} from "@verbenaspring/emulator";
import { test } from "uvu";
import * as assert from "uvu/assert";

const options: EngineOptions = {
    id: "e1",
    service: "engine",
    address: "10.0.0.1:1",
    slots: 4,
    memoryTokens: 1_000,
    tokensPerEvent: 4,
    stepTime: 10,
    stepTimePerRun: 0,
    prefillRate: 10,
    transferRate: 10,
};

function call(callerAttemptId: string, overrides: Partial<ServerCall> = {}): ServerCall {
    return {
        callerAttemptId,
        target: undefined,
        path: "/",
        body: "",
        timeLimit: 60_000,
        promptTokens: 100,
        sharedParts: [],
        outputTokens: 40,
        priority: 5,
        lastEvent: 0,
        replicaAddress: undefined,
        copy: undefined,
        ...overrides,
    };
}

/** Two engines that share a clock, and a record of what their callers received. */
class EngineHarness {
    readonly clock = new VirtualClock();
    readonly runs: ServerRun[] = [];
    readonly received: string[] = [];
    readonly events: RunEvent[] = [];
    readonly first: EngineServer;
    readonly second: EngineServer;

    constructor(traits: Partial<EngineOptions> = {}) {
        this.first = this.create({ ...options, ...traits });
        this.second = this.create({ ...options, ...traits, id: "e2", address: "10.0.0.2:1" });
    }

    start(engine: EngineServer, sent: ServerCall): void {
        const record = (what: string) => () => void this.received.push(`${sent.callerAttemptId} ${what}`);
        const observer: CallObserver = {
            refused: reason => this.received.push(`${sent.callerAttemptId} ${reason}`),
            opened: record("opened"),
            event: event => this.events.push(event),
            ended: record("ended"),
            answered: record("answered"),
            disconnected: how =>
                this.received.push(`${sent.callerAttemptId} ${how === "closed" ? "closed" : "disconnected"}`),
        };
        engine.start(sent, observer);
    }

    private create(engineOptions: EngineOptions): EngineServer {
        return new EngineServer(
            engineOptions,
            this.clock,
            run => this.runs.push(run),
            {
                findEngine: address => [this.first, this.second].find(engine => engine.options.address === address),
                crashUnder: () => false,
            },
        );
    }
}

const eventIds = (events: readonly RunEvent[]): number[] => events.map(({ id }) => id);
const tenIds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

test("a stream opens with the first token and has an event for every four tokens", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("a"));
    engines.clock.advanceTo(15);
    assert.equal(engines.received, []);
    engines.clock.advanceTo(2_000);
    assert.equal(engines.received, ["a opened", "a ended"]);
    assert.equal(eventIds(engines.events), tenIds);
});

test("when memory runs out, the newest run of the lowest priority is preempted and later resumes as the same run", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("urgent", { promptTokens: 450, outputTokens: 200, priority: 0 }));
    engines.start(engines.first, call("patient", { promptTokens: 450, outputTokens: 200, priority: 5 }));
    engines.clock.advanceTo(20_000);
    assert.is(engines.first.preemptions > 0, true);
    assert.equal(engines.received.filter(line => line.endsWith("ended")), ["urgent ended", "patient ended"]);
    assert.is(engines.runs.length, 2);
});

test("after a crash, a run continues from its replica with the event after the caller's last one", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("a", { replicaAddress: engines.second.options.address }));
    engines.clock.advanceTo(300);
    const lastEvent = engines.events.length;
    engines.first.crash();
    const replica = { source: engines.first.options.address, name: "a" };
    engines.start(engines.second, call("a", { copy: replica, lastEvent }));
    engines.clock.advanceTo(3_000);
    assert.equal(eventIds(engines.events), tenIds);
    assert.is(new Set(engines.events.map(({ lineage }) => lineage)).size, 1);
    assert.equal(engines.runs.map(({ continuesFromReplica }) => continuesFromReplica), [false, true]);
});

test("a migrated run continues from its handle only once", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("a"));
    engines.clock.advanceTo(100);
    let handle = "";
    engines.first.migrate(
        "a",
        engines.second.options.address,
        false,
        outcome => handle = outcome.kind === "moved" ? outcome.handle : "",
    );
    engines.clock.advanceTo(130);
    assert.is.not(handle, "");
    const replica = { source: engines.first.options.address, name: handle };
    engines.start(engines.second, call("a", { copy: replica, lastEvent: engines.events.length }));
    engines.start(engines.second, call("a", { copy: replica, lastEvent: 0 }));
    assert.equal(engines.received.filter(line => line.endsWith("no_copy")), ["a no_copy"]);
});

test("the last step of a migration stops the run at once, and its replica has what it generated", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("a"));
    engines.clock.advanceTo(100);
    const handles: string[] = [];
    const migrate = (isStopping: boolean): void =>
        engines.first.migrate(
            "a",
            engines.second.options.address,
            isStopping,
            outcome => handles.push(outcome.kind === "moved" ? outcome.handle : outcome.kind),
        );
    migrate(false);
    engines.clock.advanceTo(130);
    migrate(true);
    assert.equal(engines.first.report(), []);
    engines.clock.advanceTo(131);
    assert.is(handles.length, 2, "only what is new is transferred");
    const lastEvent = engines.events.length;
    engines.start(
        engines.second,
        call("a", { copy: { source: engines.first.options.address, name: handles[1] }, lastEvent }),
    );
    engines.clock.advanceTo(3_000);
    assert.equal(eventIds(engines.events), tenIds);
});

test("a run that was stopped continues at its own engine, unless the copy has been used", () => {
    for (const isCopyUsed of [false, true]) {
        const engines = new EngineHarness();
        engines.start(engines.first, call("a"));
        engines.clock.advanceTo(100);
        let handle = "";
        const answered = (outcome: MigrationOutcome) => handle = outcome.kind === "moved" ? outcome.handle : "";
        engines.first.migrate("a", engines.second.options.address, true, answered);
        engines.clock.advanceTo(130);
        const copy = { source: engines.first.options.address, name: handle };
        const next = call("a", { copy, lastEvent: engines.events.length });
        if (isCopyUsed) {
            engines.start(engines.second, next);
        }
        engines.start(engines.first, next);
        engines.clock.advanceTo(3_000);
        assert.equal(eventIds(engines.events), tenIds);
        assert.is(engines.received.includes("a no_copy"), isCopyUsed);
        assert.is(new Set(engines.events.map(({ lineage }) => lineage)).size, 1);
    }
});

test("calls that are too large, are for another target or reach a shedding engine are refused and not run", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("large", { promptTokens: 2_000 }));
    engines.start(engines.first, call("lost", { target: "e9" }));
    engines.first.behaviour = "shed";
    engines.start(engines.first, call("shed"));
    engines.clock.advanceTo(1_000);
    assert.equal(engines.received, ["large too_large", "lost not_the_target", "shed full"]);
    assert.equal(engines.runs, []);
});

/** Starts a call at an engine that loses the answers of every second call; the answer of this one is lost. */
function startLost(engines: EngineHarness, engine: EngineServer, sent: ServerCall): void {
    engine.behaviour = "lose";
    engines.start(engine, sent);
}

test("a call whose answer is lost begins a run that ends at once, and its connection is broken without an answer", () => {
    const engines = new EngineHarness();
    startLost(engines, engines.first, call("a"));
    assert.equal(engines.received, ["a disconnected"]);
    const [run] = engines.runs;
    assert.equal([run.startedAt, run.endedAt, run.isComplete], [0, 0, false]);
    assert.equal(engines.first.report(), []);
    engines.clock.advanceTo(2_000);
    assert.equal(engines.received, ["a disconnected"]);
    assert.equal(engines.events, []);
    assert.is(engines.runs.length, 1);
});

test("every second call loses its answer, and the others are treated as usual", () => {
    const engines = new EngineHarness();
    engines.first.behaviour = "lose";
    ["a", "b", "c", "d"].forEach(id => engines.start(engines.first, call(id)));
    engines.start(engines.first, call("e", { target: "e9" }));
    engines.clock.advanceTo(3_000);
    assert.equal(engines.received, [
        "a disconnected",
        "c disconnected",
        "e not_the_target",
        "b opened",
        "d opened",
        "b ended",
        "d ended",
    ]);
    assert.equal(engines.runs.map(({ callerAttemptId }) => callerAttemptId), ["a", "c", "b", "d"]);
});

test("a call whose answer is lost begins anew if it names a replica that the engine does not hold", () => {
    const engines = new EngineHarness();
    startLost(engines, engines.first, call("a", { replicaAddress: engines.second.options.address }));
    const copy = { source: engines.first.options.address, name: "a" };
    startLost(engines, engines.second, call("a", { copy }));
    assert.equal(engines.received, ["a disconnected", "a disconnected"]);
    assert.equal(engines.runs.map(({ continuesFromReplica }) => continuesFromReplica), [false, false]);
    engines.start(engines.second, call("a", { copy }));
    assert.is(engines.received.at(-1), "a no_copy");
});

test("a call whose answer is lost consumes the replica that it names", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("a", { replicaAddress: engines.second.options.address }));
    engines.clock.advanceTo(300);
    const lastEvent = engines.events.length;
    engines.first.crash();
    const copy = { source: engines.first.options.address, name: "a" };
    startLost(engines, engines.second, call("a", { copy, lastEvent }));
    assert.equal(engines.runs.map(({ continuesFromReplica }) => continuesFromReplica), [false, true]);
    assert.is(engines.runs[1].lineage, engines.runs[0].lineage);
    engines.start(engines.second, call("a", { copy, lastEvent }));
    assert.equal(engines.received.slice(-2), ["a disconnected", "a no_copy"]);
});

test("an engine closes the connections of unframed streams in order when it crashes and when a run is stopped", () => {
    const engines = new EngineHarness({ isUnframed: true });
    ["a", "b"].forEach(id => engines.start(engines.first, call(id)));
    engines.clock.advanceTo(100);
    engines.first.migrate("a", engines.second.options.address, true, () => undefined);
    engines.first.crash();
    assert.equal(engines.received.slice(2), ["a closed", "b closed"]);
});

test("an engine that breaks connections resets those of unframed streams, too", () => {
    const engines = new EngineHarness({ isUnframed: true });
    engines.first.behaviour = "break";
    engines.start(engines.first, call("a"));
    engines.clock.advanceTo(2_000);
    assert.equal(engines.received, ["a opened", "a disconnected"]);
});

test("an engine may end a run at the time limit of its call", () => {
    const engines = new EngineHarness({ stopsAtTimeLimit: true });
    engines.start(engines.first, call("a", { timeLimit: 150 }));
    engines.start(engines.first, call("b", { timeLimit: 5_000 }));
    engines.clock.advanceTo(10_000);
    assert.equal(engines.received, ["a opened", "b opened", "a disconnected", "b ended"]);
    assert.is(engines.runs[0].endedAt, 150);
});

test("the report of an engine may be as old as its interval", () => {
    const engines = new EngineHarness({ reportInterval: 300 });
    const listed = (at: number): number => {
        engines.clock.advanceTo(at);
        return engines.first.report().length;
    };
    engines.start(engines.first, call("a"));
    assert.equal([listed(299), listed(300), listed(599), listed(601)], [0, 1, 1, 0]);
});

test("a run that goes on after the last event ends without another one", () => {
    const engines = new EngineHarness();
    engines.start(engines.first, call("a", { lastEvent: 10 }));
    engines.clock.advanceTo(2_000);
    assert.equal(engines.received, ["a opened", "a ended"]);
    assert.equal(engines.events, []);
});

test("an engine that stopped loses no answers", () => {
    const engines = new EngineHarness();
    engines.first.crash();
    startLost(engines, engines.first, call("a"));
    assert.equal(engines.runs, []);
});

test("a plain server runs a call whose answer is lost once, also while it is full, and refuses other targets", () => {
    const clock = new VirtualClock();
    const runs: ServerRun[] = [];
    const received: string[] = [];
    const server = new PlainServer(
        { id: "p1", service: "plain", address: "10.0.0.3:1", slots: 1, workTime: 25 },
        clock,
        run => runs.push(run),
    );
    const start = (id: string, overrides: Partial<ServerCall> = {}): void => {
        const record = (what: string) => () => void received.push(`${id} ${what}`);
        server.start(call(id, overrides), {
            refused: reason => received.push(`${id} ${reason}`),
            opened: record("opened"),
            event: record("event"),
            ended: record("ended"),
            answered: record("answered"),
            disconnected: record("disconnected"),
        });
    };
    start("running");
    ["queued1", "queued2"].forEach(id => start(id));
    server.behaviour = "lose";
    start("elsewhere", { target: "p9" });
    start("lost");
    start("shed");
    assert.equal(received, ["elsewhere not_the_target", "lost disconnected", "shed full"]);
    assert.equal(runs.map(({ callerAttemptId, endedAt }) => [callerAttemptId, endedAt]), [["running", undefined], [
        "lost",
        0,
    ]]);
    clock.advanceTo(200);
    assert.equal(received.slice(3), ["running answered", "queued1 answered", "queued2 answered"]);
    assert.is(runs.length, 4);
});

test.run();
