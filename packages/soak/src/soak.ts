/**
 * One run of the soak.
 */
import { waitUntil } from "@verbenaspring/bench";
import { seededSource } from "@verbenaspring/coordination";
import { pause } from "@verbenaspring/stand-ins";
import { SoakCallers } from "./soakCallers.js";
import { SoakFaults } from "./soakFaults.js";
import type { Violation } from "./soakOracle.js";
import { type SoakGateway, SoakWorld } from "./soakWorld.js";

/** How to run. */
export interface SoakOptions {
    readonly seed: number;
    /** How long faults come. */
    readonly seconds: number;
    readonly gateways: number;
    readonly callers: number;
    /** Whether bounds of time are checked. */
    readonly checksTimeLimits: boolean;
    /** Where the logs of a failed run are kept. */
    readonly logFolder?: string;
}

/** What came of it. */
export interface SoakResult {
    readonly violations: readonly Violation[];
    /** Requests by how they ended. */
    readonly endCounts: ReadonlyMap<string, number>;
    readonly faultCounts: ReadonlyMap<string, number>;
}

const lagInterval = 20;
/** A hold-up of the soak that counts. */
const noticeableLag = 40;
/** Faults that are over may still cost the next requests. */
const calmTime = 5_000;

/**
 * Runs processes under faults, and checks the promises.
 *
 * @example
 * const { breaches } = await runSoak({ seed: 1, seconds: 20, gateways: 3, callers: 12, checksTimes: true });
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const { seed, seconds, gateways, callers: callerCount, checksTimeLimits: checksTimes, logFolder } = options;
    const world = await SoakWorld.start({ gateways, checksTimeLimits: checksTimes });
    const endEarly = (): void => {
        world.killGateways();
        process.exit(1);
    };
    const signals = ["SIGTERM", "SIGINT"] as const;
    signals.forEach(signal => process.once(signal, endEarly));
    const stopLagWatch = watchLag(lag => world.oracle.recordLag(lag));
    // Faults and callers draw from sources of their own, so that the faults don't depend on how fast callers are.
    const callers = new SoakCallers(world, seededSource(seed, 1).random);
    const faults = new SoakFaults(world, seededSource(seed, 2).random);
    try {
        callers.start(callerCount);
        await faults.run(1_000 * seconds);
        await faults.endFaults();
        await pause(calmTime);
        await callers.stop();
        await checkRecovery(world, callers);
        world.oracle.checkFinalState();
        return {
            violations: world.oracle.violations,
            endCounts: world.oracle.endCounts,
            faultCounts: faults.faultCounts,
        };
    }
    finally {
        stopLagWatch();
        signals.forEach(signal => process.off(signal, endEarly));
        if (world.oracle.violations.length > 0 && logFolder !== undefined) {
            world.writeLogs(logFolder);
        }
        await world.close();
    }
}

/** Every gateway serves each kind of work again. */
async function checkRecovery(world: SoakWorld, callers: SoakCallers): Promise<void> {
    const serves = async (gateway: SoakGateway): Promise<boolean> => {
        const asks = await Promise.all([
            callers.ask(0, gateway, "confirm", false),
            callers.ask(0, gateway, "plan", false),
        ]);
        return asks.every(({ end }) => end === "whole");
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

function watchLag(note: (lag: number) => void): () => void {
    let last = performance.now();
    const timer = setInterval(() => {
        const now = performance.now();
        const lag = now - last - lagInterval;
        if (lag > noticeableLag) {
            note(lag);
        }
        last = now;
    }, lagInterval);
    return () => clearInterval(timer);
}
