import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { earliestTime, recordClockSample } from "../src/peerClocks.js";
import type { PeerReport } from "../src/peerReport.js";
import type { Peer } from "../src/state.js";
import { configuration, TestGateway } from "./gatewayBuilders.js";

const unrelatedStart = 700_000;

/** A gateway and a peer that report to each other, with a clock each. */
class ClockPair {
    readonly peer = { clockSamples: [] } as unknown as Peer;
    now = 0;
    own = 0;
    theirs = unrelatedStart;
    /** By how much more than the own clock the peer's clock counts. */
    drift = 0;

    advance(duration: number, { isOwnSuspended = false, isPeerSuspended = false } = {}): void {
        this.now += duration;
        this.own += isOwnSuspended ? 0 : duration;
        this.theirs += isPeerSuspended ? 0 : duration * (1 + this.drift);
    }

    /** A report to the peer, and one back that echoes it. */
    exchange(delay = 10, delayBack = 10): void {
        const sentAt = this.own;
        this.advance(delay);
        const report = { sentAt: this.theirs, echo: { sentAt, heldFor: 0 } } as unknown as PeerReport;
        this.advance(delayBack);
        recordClockSample(this.peer, report, this.own);
    }

    /** Exchanges of reports every 500 ms. */
    exchangeFor(duration: number, delay?: number, delayBack?: number): void {
        for (const end = this.now + duration; this.now < end;) {
            this.exchange(delay, delayBack);
            this.advance(Math.max(0, 500 - (delay ?? 10) - (delayBack ?? 10)));
        }
    }

    earliestTime(time: number, since = time): number {
        const earliest = earliestTime(this.peer, time, since);
        assert.type(earliest, "number");
        return earliest!;
    }
}

test("a time on a peer's clock is known but for the delay of the reports to the peer", () => {
    const clocks = new ClockPair();
    clocks.exchangeFor(3_000, 10, 300);
    const { own, theirs } = clocks;
    clocks.exchange(10, 300);
    assert.is(clocks.earliestTime(theirs), own - 10);
});

test("reports that become late or come in time again make no time later", () => {
    for (const [delay, delayBack] of [[10, 1_500], [1_500, 10], [10, 10], [300, 10]]) {
        const clocks = new ClockPair();
        clocks.exchangeFor(3_000, 200, 200);
        const { own, theirs } = clocks;
        clocks.exchange(delay, delayBack);
        clocks.exchange();
        const earliest = clocks.earliestTime(theirs);
        assert.ok(earliest <= own && earliest >= own - 200, `${earliest} of ${own}`);
    }
});

test("one late report to a peer does not make later times much earlier", () => {
    const clocks = new ClockPair();
    clocks.exchangeFor(2_000);
    clocks.exchange(1_000, 10);
    clocks.exchange();
    const { own, theirs } = clocks;
    clocks.exchange();
    assert.is(clocks.earliestTime(theirs), own - 10);
});

test("a time from before the peer was suspended is as early as it was", () => {
    const clocks = new ClockPair();
    clocks.exchangeFor(2_000);
    const { own, theirs } = clocks;
    clocks.advance(1_500, { isPeerSuspended: true });
    clocks.exchange();
    assert.is(clocks.earliestTime(theirs), own - 10);
    clocks.exchangeFor(2_000);
    assert.is(clocks.earliestTime(theirs), own - 10);
});

test("a time from after a suspension of either is as early as it was once both have reported", () => {
    for (const suspended of [{ isPeerSuspended: true }, { isOwnSuspended: true }]) {
        const clocks = new ClockPair();
        clocks.exchangeFor(2_000);
        clocks.advance(1_500, suspended);
        clocks.exchange();
        const { own, theirs } = clocks;
        clocks.exchange();
        assert.is(clocks.earliestTime(theirs), own - 10);
    }
});

test("suspensions long before do not count", () => {
    const clocks = new ClockPair();
    clocks.exchangeFor(2_000);
    clocks.advance(1_500, { isOwnSuspended: true });
    clocks.exchangeFor(6_000);
    const { own, theirs } = clocks;
    clocks.advance(1_500, { isPeerSuspended: true });
    clocks.exchange();
    assert.is(clocks.earliestTime(theirs), own - 10);
});

test("clocks that run 200 ppm apart make a time later by 1 ms at most", () => {
    for (const drift of [-2e-4, 2e-4]) {
        const clocks = new ClockPair();
        clocks.drift = drift;
        for (let step = 0; step < 100; step++) {
            clocks.exchangeFor(10_000);
            const { own, theirs } = clocks;
            clocks.exchange();
            const error = clocks.earliestTime(theirs) - own;
            assert.ok(error <= 1 && error >= -12, `${error} ms`);
        }
    }
});

test("a time from before the first sample is unknown", () => {
    const clocks = new ClockPair();
    clocks.exchangeFor(1_000);
    assert.is(earliestTime(clocks.peer, unrelatedStart + 500, unrelatedStart), undefined);
});

test("frequent reports leave few samples, which reach as far back", () => {
    const clocks = new ClockPair();
    for (let step = 0; step < 10_000; step++) {
        clocks.exchange(1, 1);
    }
    const { clockSamples } = clocks.peer;
    assert.ok(clockSamples.length <= 30);
    assert.ok(clockSamples[0].handledAt <= clocks.theirs - 4_500);
});

test("a peer that restarted makes a topic fresher once its clock is known", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(1));
    const { next } = gateway.state.followers.configuration;
    const read = (count: number, age: number, clock: number) => {
        const incarnation = identifier<never>(`other-${clock}`);
        const topic = {
            name: "configuration",
            since: next!,
            through: next!,
            age,
            items: [],
            isComplete: false,
        } as const;
        const report = {
            incarnation,
            sentAt: gateway.now + clock,
            topics: [{ ...topic, read: { reader: incarnation, count } }],
        };
        gateway.receiveReport(report);
        return gateway.now - gateway.state.followers.configuration.freshAsOf!;
    };
    for (const clock of [5_000, -300]) {
        const before = gateway.now - gateway.state.followers.configuration.freshAsOf!;
        assert.is(read(1, 0, clock), before);
        gateway.now += 1_000;
        assert.is(read(2, 100, clock), 100);
        gateway.now += 1_000;
    }
});

test.run();
