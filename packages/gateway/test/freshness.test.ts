/**
 * Seeded schedules of faults, in which each gateway's view is compared with what had been acknowledged at the time as of which
 * it counts as fresh.
 */
import { type RandomSource, seededSource } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, server, type TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

const configurationLimit = 2_000;
/** For how long a gateway has to reach the log before it is held to the limit. */
const contactDuration = 3_000;
const schedules = 60;
const steps = 300;

class Schedule {
    readonly linked: LinkedGateways;
    /** When each configuration was acknowledged; the index is its version. */
    private readonly acknowledgedAt: number[] = [-Infinity];
    /** Since when a gateway has reached the log without delay. */
    private readonly inTouchSince = new Map<TestGateway, number>();

    constructor(private readonly source: RandomSource) {
        this.linked = new LinkedGateways(1 + this.draw(6), { configurationLimit });
        this.linked.register(server("plain-1"));
        this.configure();
    }

    private draw(limit: number): number {
        return Math.floor(this.source.random() * limit);
    }

    private drawGateway(): TestGateway {
        const { gateways } = this.linked;
        return gateways[this.draw(gateways.length)];
    }

    private configure(): void {
        this.linked.configure(configuration(this.acknowledgedAt.length));
        this.acknowledgedAt.push(this.linked.now);
    }

    private readonly faults: readonly (() => void)[] = [
        () => this.linked.deleteHistory("configuration"),
        () => this.linked.turnedAway.add(this.drawGateway()),
        () => this.linked.turnedAway.delete(this.drawGateway()),
        () => this.linked.isolate(this.drawGateway()),
        () => this.linked.restoreLinks(),
        () => this.linked.restart(this.drawGateway()),
        () => this.delayReports("sender"),
        () => this.delayReports("receiver"),
        () => this.delayReads(),
        () => {
            this.linked.reportDelay = () => 0;
            this.linked.readDelay = () => 0;
        },
    ];

    /** Lets the links from or to one gateway fall behind. */
    private delayReports(end: "sender" | "receiver"): void {
        const { linked, linked: { now: start } } = this;
        const late = this.drawGateway();
        const slope = this.source.random();
        linked.reportDelay = (sender, receiver) =>
            late === (end === "sender" ? sender : receiver) ? Math.round((linked.now - start) * slope) : 0;
    }

    private delayReads(): void {
        const late = this.drawGateway();
        const delay = this.draw(800);
        this.linked.readDelay = gateway => gateway === late ? delay : 0;
    }

    /** Advances by one step. Returns what is wrong with a gateway's view. */
    advance(): string[] {
        const chance = this.source.random();
        if (chance < 0.1) {
            this.configure();
        }
        else if (chance < 0.2) {
            this.faults[this.draw(this.faults.length)]();
        }
        this.linked.advance(10 + 10 * this.draw(10));
        return this.linked.gateways.flatMap(gateway => this.findFault(gateway));
    }

    private findFault(gateway: TestGateway): string[] {
        const { linked, linked: { now } } = this;
        const { configuration: known, followers } = gateway.state;
        const version = known?.version ?? 0;
        const age = gateway.now - (followers.configuration.freshAsOf ?? -Infinity);
        if (!this.inTouchSince.has(gateway) || linked.turnedAway.has(gateway) || linked.readDelay(gateway) > 0) {
            this.inTouchSince.set(gateway, now);
        }
        const isInTouch = now - this.inTouchSince.get(gateway)! >= contactDuration;
        const lackedFor = now - (this.acknowledgedAt[version + 1] ?? now);
        return [
            ...lackedFor > age ? [`${now}: fresh as of ${age} ms ago without one of ${lackedFor} ms ago`] : [],
            ...isInTouch && lackedFor > configurationLimit ? [`${now}: lacks one of ${lackedFor} ms ago`] : [],
        ];
    }
}

test("a view has all that was acknowledged before the time as of which it is fresh, whatever faults come together", () => {
    for (let seed = 1; seed <= schedules; seed++) {
        const schedule = new Schedule(seededSource(seed));
        for (let step = 0; step < steps; step++) {
            assert.equal(schedule.advance(), [], `seed ${seed}`);
        }
    }
});

test.run();
