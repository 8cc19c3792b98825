/**
 * Replays of loads at their worst on gateways and engines in virtual time: memory is short, engines leave at short notice
 * and others join while requests wait at every gateway.
 */
import {
    engineLoads,
    type KindResult,
    playEngineLoad,
    scaleLoad,
    servedByTenth,
    servedShare,
} from "@verbenaspring/bench";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** The share of the answered requests that were on time. */
function onTimeShare({ onTime, late }: KindResult): number {
    return onTime / (onTime + late);
}

test("when engines can't hold all requests, 95 in 100 of those that are answered are on time", () => {
    const { kinds } = playEngineLoad({ ...scaleLoad(engineLoads.grown, 1.2), duration: 16_000 }, 11);
    for (const kind of kinds) {
        assert.ok(onTimeShare(kind) >= 0.95, `${kind.name}: ${JSON.stringify({ ...kind, firstEvents: undefined })}`);
        assert.ok(kind.onTime > kind.refused, `${kind.name}: most are served`);
    }
});

test("where memory suffices for all, none is refused, and streams survive servers that leave", () => {
    const results = playEngineLoad(engineLoads.small, 12).kinds;
    assert.is(results.reduce((sum, { refused }) => sum + refused, 0), 0);
    assert.ok(results.every(kind => onTimeShare(kind) >= 0.95), JSON.stringify(results));
    assert.ok(results.every(kind => kind.cut < 0.05 * kind.asked), JSON.stringify(results));
});

/** Requires of the largest tenth of each kind, and of the fifth below it, half of the share that is served of the kind. */
function assertSizesServed(kinds: readonly KindResult[]): void {
    for (const { name, ends } of kinds) {
        const tenths = servedByTenth(ends);
        const minimum = servedShare(ends) / 2;
        const nextFifth = (tenths[7] + tenths[8]) / 2;
        assert.ok(tenths[9] >= minimum, `${name}: largest tenth ${tenths[9]}, minimum ${minimum}`);
        assert.ok(nextFifth >= minimum, `${name}: fifth below it ${nextFifth}, minimum ${minimum}`);
    }
}

test("large requests are served at least half as often as all of their kind when memory is short", () => {
    assertSizesServed(playEngineLoad(scaleLoad(engineLoads.mixed, 1.35), 13).kinds);
});

test("large requests are served at least half as often as all of their kind when time for prompts is short", () => {
    assertSizesServed(playEngineLoad({ ...engineLoads.prompts, duration: 15_000 }, 14).kinds);
});

test.run();
