/**
 * Chooses the backend server for a request, and the one that keeps a copy of its memory.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Random } from "./retry.js";

/** A backend server as placement sees it. */
export interface PlacementView {
    /** Requests at work there, as a share of its slots; over 1 where more wait. */
    readonly load: number;
    /** The share of its memory that runs and copies hold, in [0, 1] and over where they don't fit; 0 for plain services. */
    readonly memoryLoad: number;
    /** Tokens of prompts that it has yet to read. */
    readonly waitingTokens: number;
    /** The share of failed attempts lately, in [0, 1]. */
    readonly failureShare: number;
    /** Time to the first byte of an answer lately, where known. */
    readonly responseTime: Milliseconds | undefined;
    /** Whether it started so short a time ago that it is still slow. */
    readonly isWarmingUp: boolean;
    /** Whether it is in the failure domain of this instance. */
    readonly isSameFailureDomain: boolean;
}

/** Servers whose cost differs by less than this factor count as equal. */
const indifference = 0.1;
const warmUpFactor = 1.5;
/** Servers in other failure domains cost a little more: the way is longer and is paid for. */
const farFactor = 1.03;
const idleCost = 0.1;
/** Over this share of memory, runs push each other aside as they grow. */
const fullMemory = 0.85;
const overfullFactor = 20;
/** Prompts of so many tokens wait as long as a full memory of runs slows a stream down. */
const waitingUnit = 6_000;
/** How strongly a server that fails attempts is avoided. */
const failureFactor = 6;

/**
 * The candidate with the lowest cost, or undefined where there is none. Candidates that are nearly equal are chosen by
 * chance, so that instances which know the same don't all choose the same server.
 *
 * @example
 * const server = chooseServer(servers, server => viewOf(server), random);
 */
export function chooseServer<Candidate>(
    candidates: readonly Candidate[],
    viewOf: (candidate: Candidate) => PlacementView,
    random: Random,
): Candidate | undefined {
    const views = candidates.map(viewOf);
    const typicalTime = median(views.flatMap(view => view.responseTime ?? []));
    const typicalFailures = median(views.map(view => view.failureShare)) ?? 0;
    const costs = views.map(view => costOf(view, typicalTime, typicalFailures) * (1 + indifference * random()));
    return candidates[costs.indexOf(Math.min(...costs))];
}

function costOf(view: PlacementView, typicalTime: Milliseconds | undefined, typicalFailures: number): number {
    const relativeTime = view.responseTime === undefined || typicalTime === undefined
        ? 1
        : Math.max(0.5, view.responseTime / Math.max(1, typicalTime));
    const warmUp = view.isWarmingUp ? warmUpFactor : 1;
    const distance = view.isSameFailureDomain ? 1 : farFactor;
    const overfull = Math.max(0, view.memoryLoad - fullMemory);
    const work = idleCost + view.load + view.memoryLoad + overfull * overfullFactor + view.waitingTokens / waitingUnit;
    // Failures that all servers have alike come from the requests.
    const excessFailures = Math.max(0, view.failureShare - typicalFailures);
    return work * relativeTime * (1 + failureFactor * excessFailures) * warmUp * distance;
}

function median(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((one, other) => one - other);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** An engine that might keep a copy. */
export interface ReplicaHostView {
    readonly load: number;
    readonly isSameFailureDomain: boolean;
}

/** How a copy is placed. */
export interface ReplicaPlacementRule {
    /** The share of an engine's memory that it may fill. */
    readonly maxLoad: number;
    /** What a place in the same failure domain, where a copy takes half as long, is worth in load. */
    readonly sameDomainBonus: number;
}

/** Engines whose loads differ by less than this count as equal places for a copy: about one run. */
const copyIndifference = 0.15;

/** Copies that are kept in reserve only take memory that stays free beside the runs. */
export const replicaPlacement: ReplicaPlacementRule = { maxLoad: 0.8, sameDomainBonus: 0.1 };

/** A stream that would else be lost may fill an engine further, and has to be there before its server is gone. */
export const migrationPlacement: ReplicaPlacementRule = { maxLoad: 0.95, sameDomainBonus: 0.3 };

/**
 * The engine with the most free memory that can keep a copy of `share` of its memory, or undefined where all would be
 * fuller than the limit: on crowded engines copies would push aside the runs that they are to protect. Engines that are
 * nearly equal are chosen by chance, so that instances which know the same don't all fill the same one.
 *
 * @example
 * const replica = chooseCopyHolder(others, other => viewOf(other), 0.12, random);
 */
export function chooseReplicaHost<Candidate>(
    candidates: readonly Candidate[],
    viewOf: (candidate: Candidate) => ReplicaHostView,
    share: number,
    random: Random,
    { maxLoad: limit, sameDomainBonus: nearAdvantage }: ReplicaPlacementRule = replicaPlacement,
): Candidate | undefined {
    const costs = candidates.map(candidate => {
        const { load, isSameFailureDomain: isNear } = viewOf(candidate);
        return load + share > limit ? Infinity : load - (isNear ? nearAdvantage : 0) + copyIndifference * random();
    });
    const lowest = Math.min(...costs);
    return lowest === Infinity ? undefined : candidates[costs.indexOf(lowest)];
}
