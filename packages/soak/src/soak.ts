/**
 * Runs a soak: gateways as processes under faults, then a check that they have recovered.
 */
import { waitUntil } from "@verbenaspring/bench";
import { seededSource } from "@verbenaspring/coordination";
import { pause } from "@verbenaspring/stand-ins";
import { SoakCallers } from "./soakCallers.js";
import { SoakFaults } from "./soakFaults.js";
import type { Violation } from "./soakOracle.js";
import { type SoakPlan, type SoakPlanName, soakPlans } from "./soakPlans.js";
import { type SoakGateway, SoakWorld } from "./soakWorld.js";

/** The parameters of a soak. */
export interface SoakOptions {
    readonly seed: number;
    /** How long faults are injected. */
    readonly seconds: number;
    readonly gateways: number;
    readonly callers: number;
    /** What is played; all faults by default. */
    readonly plan?: SoakPlanName;
    /** Whether time limits are checked; other load on the machine breaks them. */
    readonly checksTimeLimits: boolean;
    /** The directory for the logs of a run in which a promise was broken. */
    readonly logFolder?: string;
}

/** The result of a soak. */
export interface SoakResult {
    readonly violations: readonly Violation[];
    /** The number of requests by how they ended. */
    readonly endCounts: ReadonlyMap<string, number>;
    /** The number of faults by name. */
    readonly faultCounts: ReadonlyMap<string, number>;
    /** The requests that were cut when their backend server ended. */
    readonly endedWithServer: readonly string[];
}

/** The number of the random numbers that the store draws from, which no series of faults has. */
const storeSource = 24;
/** The number of the random numbers that decide which engines frame their streams. */
const framingSource = 25;
/** Milliseconds between the measurements of the lag of the soak's own event loop. */
const lagInterval = 20;
/** Milliseconds up to which a lag is not recorded. */
const minRecordedLag = 40;
/** Milliseconds after the last fault in which requests may still fail because of it. */
const recoveryTime = 5_000;

/**
 * Runs gateways under faults, and checks the promises.
 *
 * @example
 * const { violations } = await runSoak({ seed: 1, seconds: 20, gateways: 3, callers: 12, checksTimeLimits: true });
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const { seed, seconds, gateways, callers: callerCount, checksTimeLimits, logFolder } = options;
    const plan: SoakPlan = soakPlans[options.plan ?? "faults"];
    const { maxPageGap = 0, deletedHistoryShare = 0, unframedShare } = plan;
    const { random: drawFraming } = seededSource(seed, framingSource);
    const world = await SoakWorld.start({
        gateways,
        engines: plan.engines,
        engineProfile: plan.engineProfile,
        drawUnframed: unframedShare === undefined ? undefined : () => drawFraming() < unframedShare,
        checksTimeLimits,
        relaysPeerLinks: plan.relaysPeerLinks ?? false,
    });
    const { random: drawStoreTimes } = seededSource(seed, storeSource);
    world.store.setPageTiming(() => ({ first: "records", gap: maxPageGap * drawStoreTimes() }));
    world.store.setHistoryDeletion(() => drawStoreTimes() < deletedHistoryShare);
    // A soak that is interrupted leaves no gateways running.
    const killGatewaysAndExit = (): void => {
        world.killGateways();
        process.exit(1);
    };
    const signals = ["SIGTERM", "SIGINT"] as const;
    signals.forEach(signal => process.once(signal, killGatewaysAndExit));
    const stopLagTimer = startLagTimer(lag => world.oracle.recordLag(lag));
    // Faults and callers draw from separate sources, so that the faults don't depend on how fast the callers are.
    const callers = new SoakCallers(world, plan.callers, seededSource(seed, 1).random, seededSource(seed, 5).random);
    const allFaults = plan.series.map(series => ({
        series,
        faults: new SoakFaults(world, seededSource(seed, series.source).random),
    }));
    try {
        callers.start(callerCount);
        await Promise.all(allFaults.map(({ faults, series }) => faults.run(1_000 * seconds, series)));
        const ends = allFaults.map(({ faults }) => faults.endFaults());
        await Promise.all(plan.isPlanned ? [...ends, callers.stop()] : ends);
        await pause(plan.isPlanned ? 0 : recoveryTime);
        await callers.stop();
        await checkRecovery(world, callers);
        world.oracle.checkFinalState();
        return {
            violations: world.oracle.violations,
            endCounts: world.oracle.endCounts,
            faultCounts: sumCounts(allFaults.map(({ faults }) => faults.faultCounts)),
            endedWithServer: world.oracle.endedWithServer,
        };
    }
    finally {
        stopLagTimer();
        signals.forEach(signal => process.off(signal, killGatewaysAndExit));
        if (world.oracle.violations.length > 0 && logFolder !== undefined) {
            world.writeLogs(logFolder);
        }
        await world.close();
    }
}

function sumCounts(counts: readonly ReadonlyMap<string, number>[]): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    counts.forEach(each => each.forEach((count, name) => sums.set(name, (sums.get(name) ?? 0) + count)));
    return sums;
}

/** Checks that every gateway serves calls and streams again. */
async function checkRecovery(world: SoakWorld, callers: SoakCallers): Promise<void> {
    const serves = async (gateway: SoakGateway): Promise<boolean> => {
        const requests = await Promise.all([
            callers.sendRequest(0, gateway, "confirm", false),
            callers.sendRequest(0, gateway, "plan", false),
        ]);
        return requests.every(({ end }) => end === "whole");
    };
    for (const gateway of world.gateways) {
        try {
            await waitUntil(`${gateway.name} serves again`, () => serves(gateway));
        }
        catch (error) {
            world.oracle.fail("serves_again", String(error));
        }
    }
}

/** Reports when a timer of this process fires late, and returns a function that stops it. */
function startLagTimer(onLag: (lag: number) => void): () => void {
    let last = performance.now();
    const timer = setInterval(() => {
        const now = performance.now();
        const lag = now - last - lagInterval;
        if (lag > minRecordedLag) {
            onLag(lag);
        }
        last = now;
    }, lagInterval);
    return () => clearInterval(timer);
}
