/**
 * The age that gateways give to a view, against the time at which the log gave the answer that it stems from.
 */
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, TestGateway } from "./gatewayBuilders.js";
import { ObservedGateways } from "./observedGateways.js";

const linkDelay = 50;

const lateLinks: Readonly<Record<string, (observed: ObservedGateways) => void>> = {
    "all links are late by 300 ms": ({ linked }) => {
        linked.reportDelay = () => 300;
    },
    "the links of the reader fall behind": ({ linked, reader }) => {
        const { now: start } = linked;
        linked.reportDelay = sender => sender === reader ? Math.min(4_000, (linked.now - start) * 0.3) : 0;
    },
    "the links to one gateway fall behind": ({ linked, reader }) => {
        const { now: start } = linked;
        const behind = linked.gateways.find(gateway => gateway !== reader);
        linked.reportDelay = (_, receiver) => receiver === behind ? Math.min(4_000, (linked.now - start) * 0.3) : 0;
    },
    "answers of the log are late by 700 ms": ({ linked }) => {
        linked.readDelay = () => 700;
    },
};

for (const [situation, begin] of Object.entries(lateLinks)) {
    test(`no view counts as younger than the log's answer that it stems from while ${situation}`, () => {
        const observed = new ObservedGateways();
        begin(observed);
        assert.is(observed.longestExcess(observed.linked.gateways, 20_000), 0);
    });
}

test("one gateway reads the configuration for all while links are sound", () => {
    const observed = new ObservedGateways();
    observed.linked.reportDelay = () => linkDelay;
    observed.linked.advance(5_000);
    observed.reads.length = 0;
    observed.linked.advance(20_000);
    const readers = new Set(
        observed.reads.filter(({ topic }) => topic === "configuration").map(({ gateway }) => gateway),
    );
    assert.is(readers.size, 1);
});

test("a report that echoes a report of an earlier process makes its topic no fresher", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(1));
    const { freshAsOf, next } = gateway.state.followers.configuration;
    gateway.now += 900;
    const read = { reader: identifier<never>("other"), count: 1 };
    const topic = {
        name: "configuration",
        since: next!,
        through: next!,
        age: 0,
        read,
        items: [],
        isComplete: false,
    } as const;
    const echo = { sentAt: gateway.now + 60_000, heldFor: 0 };
    gateway.receiveReport({ protocol: 2, echo, topics: [topic] });
    assert.is(gateway.state.followers.configuration.freshAsOf, freshAsOf);
});

test.run();
