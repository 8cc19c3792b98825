import {
    type EngineRoomInput,
    forecastFirstEvent,
    latestStart,
    measureRoom,
    seededSource,
    startProbability,
    startRank,
} from "@verbenaspring/coordination";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const { random } = seededSource(5);

function room(overrides: Partial<EngineRoomInput> = {}): number {
    const { byMemory, byTime } = measureRoom({
        memoryLoad: 0.5,
        memoryLimit: 0.95,
        memoryShare: 0.15,
        waitingTokens: 0,
        promptTokens: 3_000,
        prefillRate: 7,
        timeLeft: 3_600,
        ...overrides,
    });
    return Math.min(byMemory, byTime);
}

test("an engine has room for as many requests as fit in memory and begin on time", () => {
    assert.is(room(), 3);
    assert.is(room({ memoryLoad: 0.9 }), 0);
    assert.is(room({ waitingTokens: 9_000 }), 1, "the prompts ahead leave time for one");
    assert.is(
        room({ waitingTokens: 9_000, promptTokens: 7_000 }),
        1,
        "also for a large one, which takes its own time only",
    );
    assert.is(room({ waitingTokens: 12_000 }), 0);
});

test("an idle engine has room for a request of any size, and one without waiting prompts for one that is late", () => {
    assert.is(room({ memoryLoad: 0, memoryShare: 2 }), 1);
    assert.is(room({ timeLeft: -500 }), 1);
    assert.is(room({ timeLeft: -500, memoryLoad: 0.9 }), 0);
});

test("when an engine joins while many instances wait, they start about as many requests as it has room for", () => {
    const waiting = 28;
    const free = 6;
    const rounds = 400;
    let started = 0;
    for (let request = 0; request < rounds * waiting; request++) {
        started += random() < startProbability(free, waiting - 1) ? 1 : 0;
    }
    assert.ok(Math.abs(started / rounds - free) < 1, `${started / rounds} started where ${free} fit`);
});

test("a request that nobody else waits beside starts at once", () => {
    assert.is(startProbability(1, 0), 1);
});

test("a request waits only as long as it can still be on time", () => {
    const firstEvent = forecastFirstEvent({ waitingTokens: 0, promptTokens: 3_500, prefillRate: 7 });
    assert.is(firstEvent, 500);
    assert.ok(latestStart(1_000, 1_800, firstEvent) <= 1_000 + 1_800 - firstEvent);
    assert.is(latestStart(1_000, 400, firstEvent), 1_000, "one that can't be on time does not wait");
});

test("urgent requests start first, then those that asked first, and a large organisation lets others pass", () => {
    const large = identifier<never>("large");
    const small = identifier<never>("small");
    const running = new Map([[large, 20]]);
    const rank = (priority: number, arrivedAt: number, organisation = small): number =>
        startRank({ organisation, priority, arrivedAt }, running);
    assert.ok(rank(0, 300) < rank(1, 0));
    assert.ok(rank(0, 0) < rank(0, 300));
    assert.ok(rank(0, 300) < rank(0, 0, large));
    assert.ok(rank(1, 0) < rank(0, 5_000), "the less urgent request does not starve");
});

test.run();
