import {
    type CallObserver,
    type EngineOptions,
    EngineServer,
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

function call(callerAttemptId: string, differences: Partial<ServerCall> = {}): ServerCall {
    return {
        callerAttemptId,
        target: undefined,
        path: "/",
        body: "",
        timeLimit: 60_000,
        promptTokens: 100,
        outputTokens: 40,
        priority: 5,
        lastEvent: 0,
        replicaAddress: undefined,
        copy: undefined,
        ...differences,
    };
}

/** Two engines with one clock, and what their callers saw. */
class EngineBench {
    readonly clock = new VirtualClock();
    readonly runs: ServerRun[] = [];
    readonly seen: string[] = [];
    readonly events: RunEvent[] = [];
    readonly first = this.create(options);
    readonly second = this.create({ ...options, id: "e2", address: "10.0.0.2:1" });

    start(engine: EngineServer, asked: ServerCall): void {
        const note = (what: string) => () => void this.seen.push(`${asked.callerAttemptId} ${what}`);
        const observer: CallObserver = {
            refused: reason => this.seen.push(`${asked.callerAttemptId} ${reason}`),
            opened: note("opened"),
            event: event => this.events.push(event),
            ended: note("ended"),
            answered: note("answered"),
            disconnected: note("broken"),
        };
        engine.start(asked, observer);
    }

    private create(engineOptions: EngineOptions): EngineServer {
        return new EngineServer(
            engineOptions,
            this.clock,
            run => this.runs.push(run),
            address => [this.first, this.second].find(engine => engine.options.address === address),
        );
    }
}

const idsIn = (events: readonly RunEvent[]): number[] => events.map(({ id }) => id);
const tenIds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

test("a run opens with its first token and makes an event for each four", () => {
    const bench = new EngineBench();
    bench.start(bench.first, call("a"));
    bench.clock.advanceTo(15);
    assert.equal(bench.seen, []);
    bench.clock.advanceTo(2_000);
    assert.equal(bench.seen, ["a opened", "a ended"]);
    assert.equal(idsIn(bench.events), tenIds);
});

test("when memory runs out the newest of the least urgent is pushed aside, and goes on later as the same run", () => {
    const bench = new EngineBench();
    bench.start(bench.first, call("urgent", { promptTokens: 450, outputTokens: 200, priority: 0 }));
    bench.start(bench.first, call("patient", { promptTokens: 450, outputTokens: 200, priority: 5 }));
    bench.clock.advanceTo(20_000);
    assert.is(bench.first.preemptions > 0, true);
    assert.equal(bench.seen.filter(line => line.endsWith("ended")), ["urgent ended", "patient ended"]);
    assert.is(bench.runs.length, 2);
});

test("a run goes on from the copy that grew beside it, after the last event that its caller has", () => {
    const bench = new EngineBench();
    bench.start(bench.first, call("a", { replicaAddress: bench.second.options.address }));
    bench.clock.advanceTo(300);
    const before = bench.events.length;
    bench.first.crash();
    const copy = { source: bench.first.options.address, name: "a" };
    bench.start(bench.second, call("a", { copy, lastEvent: before }));
    bench.clock.advanceTo(3_000);
    assert.equal(idsIn(bench.events), tenIds);
    assert.is(new Set(bench.events.map(({ lineage }) => lineage)).size, 1);
    assert.equal(bench.runs.map(({ continuesFromReplica: continues }) => continues), [false, true]);
});

test("a moved run goes on from its handle, once", () => {
    const bench = new EngineBench();
    bench.start(bench.first, call("a"));
    bench.clock.advanceTo(100);
    let handle = "";
    bench.first.migrate(
        "a",
        bench.second.options.address,
        outcome => handle = outcome.kind === "moved" ? outcome.handle : "",
    );
    bench.clock.advanceTo(130);
    assert.is.not(handle, "");
    const copy = { source: bench.first.options.address, name: handle };
    bench.start(bench.second, call("a", { copy, lastEvent: bench.events.length }));
    bench.start(bench.second, call("a", { copy, lastEvent: 0 }));
    assert.equal(bench.seen.filter(line => line.endsWith("no_copy")), ["a no_copy"]);
});

test("what can never fit, is meant for another or finds the engine shedding is refused and does not run", () => {
    const bench = new EngineBench();
    bench.start(bench.first, call("large", { promptTokens: 2_000 }));
    bench.start(bench.first, call("lost", { target: "e9" }));
    bench.first.behaviour = "shed";
    bench.start(bench.first, call("shed"));
    bench.clock.advanceTo(1_000);
    assert.equal(bench.seen, ["large too_large", "lost not_the_target", "shed full"]);
    assert.equal(bench.runs, []);
});

test.run();
