/**
 * When a server is asked again to stop a run.
 */
import { askAtOnce, recordAsk, recordFailure, scheduleStop, type StopSchedule } from "@verbenaspring/gateway";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** How long a run may work beside the one that its stream went on to, by the users' rules. */
const longestOverlap = 400;

/** The times of the calls within a duration, of which each fails at once or gets no answer. */
function callTimes(schedule: StopSchedule, isRefused: boolean, duration: number, random: () => number): number[] {
    const times: number[] = [];
    for (let next = schedule; next.nextAskAt < duration;) {
        const now = next.nextAskAt;
        times.push(now);
        next = recordAsk(next, now, random);
        next = isRefused ? recordFailure(next, now, random) : next;
    }
    return times;
}

// One call was sent, and a run whose server refused or lost it went on to its end.
test("a stop that is refused or lost is repeated at least twice while two runs may overlap", () => {
    for (const random of [() => 0, () => 0.999]) {
        for (const isRefused of [false, true]) {
            assert.ok(callTimes(scheduleStop(false, 0), isRefused, longestOverlap, random).length >= 3);
        }
        assert.ok(callTimes(scheduleStop(true, 0), false, longestOverlap, random).length >= 2, "asked before");
    }
});

// A server that is gone, or that never stops the run, would otherwise be called in each tick.
test("the calls about a run become rare: one or two a second after the first two seconds", () => {
    const minute = 60_000;
    for (const random of [() => 0, () => 0.999]) {
        for (const isRefused of [false, true]) {
            const late = callTimes(scheduleStop(false, 0), isRefused, minute, random).filter(time => time >= 2_000);
            assert.ok(late.length <= 2 * minute / 1_000 && late.length >= minute / 1_000 - 3, String(late.length));
        }
    }
});

test("a failure never postpones a call, and an answer makes it due at once", () => {
    const asked = recordAsk(scheduleStop(false, 0), 0, () => 0.999);
    assert.ok(recordFailure(asked, 140, () => 0.999).nextAskAt <= asked.nextAskAt);
    assert.is(askAtOnce(asked, 10).nextAskAt, 10);
    assert.is(askAtOnce(asked, 10).asks, 1);
});

test.run();
