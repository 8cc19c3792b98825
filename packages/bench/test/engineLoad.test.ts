/**
 * Replays of loads at their worst on gateways and engines in virtual time: memory is short, engines leave at short notice
 * and others join while requests wait at every gateway.
 */
import { type EngineLoad, type KindResult, playEngineLoad, type StreamKind } from "@verbenaspring/bench";
import { test } from "uvu";
import * as assert from "uvu/assert";

const report: StreamKind = {
    name: "report",
    requestsPerSecond: 24,
    promptTokens: 2_800,
    outputTokens: 640,
    spread: 0.9,
    targetLatency: 1_800,
    deadline: 39_000,
    priority: 0,
    canResume: false,
};
const check: StreamKind = {
    ...report,
    name: "check",
    requestsPerSecond: 26,
    promptTokens: 2_200,
    outputTokens: 12,
    targetLatency: 1_500,
    deadline: 6_000,
    priority: 1,
};
const overload: EngineLoad = {
    gateways: 28,
    engines: 35,
    slots: 24,
    memoryTokens: 21_900,
    kinds: [report, check],
    departures: { interval: 3_300, engines: 5, notice: 1_300 },
    latency: { minimum: 3, spread: 25 },
    duration: 16_000,
};

/** The share of the answered requests that were on time. */
function onTimeShare({ onTime, late }: KindResult): number {
    return onTime / (onTime + late);
}

test("when engines can't hold all requests, 95 in 100 of those that are answered are on time", () => {
    const { kinds } = playEngineLoad(overload, 11);
    for (const kind of kinds) {
        assert.ok(onTimeShare(kind) >= 0.95, `${kind.name}: ${JSON.stringify({ ...kind, firstEvents: undefined })}`);
        assert.ok(kind.onTime > kind.refused, `${kind.name}: most are served`);
    }
});

test("where memory suffices for all, none is refused, and streams survive servers that leave", () => {
    const kinds = [{ ...report, requestsPerSecond: 3 }, { ...check, requestsPerSecond: 4 }];
    const departures = { ...overload.departures, engines: 1 };
    const load = { ...overload, gateways: 5, engines: 8, memoryTokens: 34_000, kinds, departures, duration: 30_000 };
    const results = playEngineLoad(load, 12).kinds;
    assert.is(results.reduce((sum, { refused }) => sum + refused, 0), 0);
    assert.ok(results.every(kind => onTimeShare(kind) >= 0.95), JSON.stringify(results));
});

test.run();
