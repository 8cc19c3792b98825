/**
 * Plays attacks of hostile clients on a gateway process, and measures what they do to it and to its ordinary clients.
 */
import { readFileSync } from "node:fs";
import { Worker } from "node:worker_threads";
import type { AttackThreadData, PlayedAttack } from "./attackThread.js";
import { type Attack, attacks } from "./hostileAttacks.js";
import type { ListenerName } from "./hostileTargets.js";
import { type HostileWorld, startHostileWorld } from "./hostileWorld.js";
import { isReady, type RequestCounts, startOrdinaryRequests, startReadinessChecks } from "./ordinaryCallers.js";

/** One trial: attacks that are played at the same time on a gateway that was started for it. */
export interface HostileTrial {
    readonly name: string;
    readonly played: readonly PlayedAttack[];
    /** Whether one of the two backend servers fails. */
    readonly hasFailingServer: boolean;
}

/** What a trial did to the gateway. */
export interface HostileResult {
    readonly trial: HostileTrial;
    /** The peak of the resident memory of the gateway's process, in megabytes. */
    readonly peakMegabytes: number;
    /** `hung`: the process runs, but is not ready within some seconds after the attack. */
    readonly state: "alive" | "hung" | "ended";
    readonly ordinary: RequestCounts;
    readonly readiness: RequestCounts;
}

/** How long attacks are played, and what they draw from. */
export interface HostileOptions {
    readonly seconds: number;
    readonly seed: number;
}

/** What must hold beside every attack. */
export const hostileTargets = {
    maxPeakMegabytes: 150,
    minServedShare: 0.95,
    /** Of the 99th percentile, in milliseconds. */
    maxDuration: 250,
} as const;

const memoryReadInterval = 25;
const settleTime = 500;
const recoveryTime = 4_000;
const recoveryPollInterval = 100;
/** Connections of all attacks together, as a share of what they open one at a time. */
const togetherScale = 0.1;
const kilobytesPerMegabyte = 1_024;

/**
 * Lists the trials of each attack alone, at each of the listeners.
 *
 * @example
 * const trials = trialsAlone(attacks, ["route", "readiness"], false);
 */
export function trialsAlone(
    selected: readonly Attack[],
    listeners: readonly ListenerName[],
    hasFailingServer: boolean,
): HostileTrial[] {
    return selected.flatMap(({ name, listeners: own }) =>
        own.filter(listener => listeners.includes(listener)).map(listener => ({
            name,
            played: [{ attack: name, listener }],
            hasFailingServer,
        }))
    );
}

/** The trial of all attacks at all listeners at the same time. */
export function trialTogether(hasFailingServer: boolean): HostileTrial {
    const played = trialsAlone(attacks, attacks.flatMap(({ listeners }) => listeners), false)
        .flatMap(trial => trial.played);
    return { name: "together", played, hasFailingServer };
}

/** The trial without an attack, to compare others with. */
export const trialWithoutAttack: HostileTrial = { name: "none", played: [], hasFailingServer: false };

/**
 * Starts a gateway, plays the attacks of a trial, and ends the gateway.
 *
 * @example
 * const result = await runHostileTrial(trialTogether(false), { seconds: 8, seed: 1 });
 * console.log(missedTargets(result));
 */
export async function runHostileTrial(trial: HostileTrial, options: HostileOptions): Promise<HostileResult> {
    const world = await startHostileWorld(trial.hasFailingServer);
    try {
        return await measure(world, trial, options);
    }
    finally {
        await world.close();
    }
}

/**
 * Starts attacks in a thread of their own, which lasts until it is terminated.
 *
 * @example
 * const thread = startAttacks({ addresses, played: [{ attack: "pipelined", listener: "readiness" }], scale: 1, seed: 1 });
 * await thread.terminate();
 */
export function startAttacks(data: AttackThreadData): Worker {
    return new Worker(new URL("attackThread.js", import.meta.url), { workerData: data });
}

async function measure(world: HostileWorld, trial: HostileTrial, options: HostileOptions): Promise<HostileResult> {
    const { gateway, addresses } = world;
    let hasEnded = false;
    void gateway.exited.then(() => hasEnded = true);
    let peak = 0;
    const memoryTimer = setInterval(
        () => peak = Math.max(peak, readPeakMegabytes(gateway.child.pid)),
        memoryReadInterval,
    );
    await pause(settleTime);
    const readiness = startReadinessChecks(addresses);
    const ordinary = startOrdinaryRequests(addresses);
    const thread = startAttacks({
        addresses,
        played: trial.played,
        scale: trial.played.length > 1 ? togetherScale : 1,
        seed: options.seed,
    });
    await pause(1_000 * options.seconds);
    const counts = await Promise.all([ordinary.stop(), readiness.stop()]);
    await thread.terminate();
    const isAlive = !hasEnded && await becomesReady(addresses.readiness);
    clearInterval(memoryTimer);
    return {
        trial,
        peakMegabytes: peak,
        state: hasEnded ? "ended" : isAlive ? "alive" : "hung",
        ordinary: counts[0],
        readiness: counts[1],
    };
}

async function becomesReady(readinessAddress: string): Promise<boolean> {
    const deadline = performance.now() + recoveryTime;
    while (performance.now() < deadline) {
        if (await isReady(readinessAddress)) {
            return true;
        }
        await pause(recoveryPollInterval);
    }
    return false;
}

/** Reads the peak of a process's resident memory; 0 once it has ended. */
function readPeakMegabytes(pid: number | undefined): number {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "utf8");
        return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / kilobytesPerMegabyte;
    }
    catch {
        return 0;
    }
}

function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

/** The duration that 99 of 100 served requests did not exceed; undefined if none was served. */
export function percentile99({ durations }: RequestCounts): number | undefined {
    return durations[Math.ceil(0.99 * durations.length) - 1];
}

/**
 * Lists the targets that a trial missed; empty if it met all of them.
 *
 * @example
 * missedTargets(result); // ["memory", "served"]
 */
export function missedTargets({ peakMegabytes, state, ordinary, readiness }: HostileResult): string[] {
    const duration = percentile99(ordinary) ?? Infinity;
    return [
        ...(state === "alive" ? [] : [state]),
        ...(peakMegabytes < hostileTargets.maxPeakMegabytes ? [] : ["memory"]),
        ...(ordinary.served >= hostileTargets.minServedShare * ordinary.sent ? [] : ["served"]),
        ...(duration < hostileTargets.maxDuration ? [] : ["duration"]),
        ...(readiness.served === readiness.sent ? [] : ["readiness"]),
    ];
}

/** Formats the heading of the table of results. */
export function formatHeading(): string {
    return formatRow([
        "attack",
        "listener",
        "servers",
        "peak MB",
        "state",
        "served",
        "p99 ms",
        "ready",
        "missed",
        "unserved",
    ]);
}

/** Formats a result as a row of the table. */
export function formatResult(result: HostileResult): string {
    const { trial, peakMegabytes, state, ordinary, readiness } = result;
    const missed = missedTargets(result);
    const listeners = new Set(trial.played.map(({ listener }) => listener));
    return formatRow([
        trial.name,
        listeners.size === 0 ? "-" : listeners.size === 1 ? [...listeners][0] : "all",
        trial.hasFailingServer ? "one fails" : "healthy",
        peakMegabytes.toFixed(0),
        state,
        `${ordinary.served}/${ordinary.sent}`,
        percentile99(ordinary)?.toFixed(0) ?? "-",
        `${readiness.served}/${readiness.sent}`,
        missed.length === 0 ? "-" : missed.join(", "),
        [...ordinary.failures].map(([failure, count]) => `${count} ${failure}`).join(", "),
    ]);
}

function formatRow(cells: readonly string[]): string {
    const widths = [25, 9, 9, 7, 5, 8, 6, 7, 18, 0];
    return `| ${cells.map((cell, index) => cell.padEnd(widths[index])).join(" | ")} |`;
}
