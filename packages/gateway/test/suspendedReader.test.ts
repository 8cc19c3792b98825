/**
 * What gateways take from one whose process was suspended, and whose steady clock stood still meanwhile.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { TestGateway } from "./gatewayBuilders.js";
import type { LinkedGateways } from "./linkedGateways.js";
import { ObservedGateways } from "./observedGateways.js";

/** Suspends a gateway for a time: what reaches it waits, and its clock stands still. */
function suspend(linked: LinkedGateways, gateway: TestGateway, duration: number): void {
    const until = linked.now + duration;
    const handle = gateway.handle.bind(gateway);
    const stoppedAt = gateway.now;
    let now = stoppedAt;
    const lost = (): number => Math.min(duration, now - stoppedAt);
    Object.defineProperty(gateway, "now", { get: () => now - lost(), set: (next: number) => now = next });
    const remaining = (): number => Math.max(0, until - linked.now);
    linked.reportDelay = (_, receiver) => receiver === gateway ? remaining() : 0;
    linked.readDelay = reader => reader === gateway ? remaining() : 0;
    gateway.handle = event => event.kind === "tick" && remaining() > 0 ? [] : handle(event);
}

const suspension = 1_500;

// The age in a report leaves out the time for which the reader's clock stood still.
for (const phase of [0, 450]) {
    test(`no view is older than it counts after its reader was suspended ${phase} ms into a read`, () => {
        const observed = new ObservedGateways();
        const { linked, reader } = observed;
        linked.advance(phase);
        suspend(linked, reader, suspension);
        assert.is(observed.longestExcess(linked.gateways.filter(gateway => gateway !== reader), 2 * suspension), 0);
    });
}

function others({ gateways }: LinkedGateways, suspended: TestGateway): readonly TestGateway[] {
    return gateways.filter(gateway => gateway !== suspended);
}

for (const size of [2, 3]) {
    for (let phase = 0; phase < 600; phase += 100) {
        test(`no view of ${size} gateways is older than it counts after a suspension ${phase} ms into a read`, () => {
            const observed = new ObservedGateways(size);
            const { linked, reader } = observed;
            linked.advance(phase);
            suspend(linked, reader, suspension);
            assert.is(observed.longestExcess(others(linked, reader), 2 * suspension), 0);
        });
    }
}

for (const name of ["configuration", "backendServers"] as const) {
    test(`no view is older than it counts after a gateway that does not read the ${name} was suspended`, () => {
        const observed = new ObservedGateways();
        const { linked } = observed;
        const { reader } = linked.gateways[0].state.followers[name].lastRead!;
        const suspended = linked.gateways.find(({ state }) => state.incarnation !== reader)!;
        suspend(linked, suspended, suspension);
        assert.is(observed.longestExcess(others(linked, suspended), 2 * suspension), 0);
    });
}

for (let age = 0; age < 2_000; age += 200) {
    test(`no view is older than it counts after a suspension ${age} ms after the reader's links were reopened`, () => {
        const observed = new ObservedGateways();
        const { linked, reader } = observed;
        linked.isolate(reader);
        linked.advance(4_000);
        linked.restoreLinks();
        linked.advance(age);
        suspend(linked, reader, suspension);
        assert.is(observed.longestExcess(others(linked, reader), 2 * suspension), 0);
    });
}

test.run();
