/**
 * Chooses the backend server for a request, and the one for a replica of its memory.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Random } from "./retry.js";

/** The properties of a backend server that placement uses. */
export interface PlacementView {
    /** Requests in progress as a share of the server's slots; above 1 if further requests wait. */
    readonly load: number;
    /** Share of the server's memory that runs and replicas need; above 1 if they don't fit, 0 for plain services. */
    readonly memoryLoad: number;
    /** Prompt tokens that the server has not processed yet. */
    readonly waitingTokens: number;
    /** Moving average of the share of failed attempts, in [0, 1]. */
    readonly failureShare: number;
    /** Moving average of the time to the first byte of an answer; undefined where not known. */
    readonly responseTime: Milliseconds | undefined;
    /** Whether the server started recently and is still slow. */
    readonly isWarmingUp: boolean;
    /** Whether the server is in the failure domain of this instance. */
    readonly isSameFailureDomain: boolean;
}

/** Each cost is raised by a random share of up to this, so that servers of similar cost are chosen at random. */
const costJitter = 0.1;
const warmUpFactor = 1.5;
/** Traffic to another failure domain takes longer and is charged for. */
const otherDomainFactor = 1.03;
const idleCost = 0.1;
/** Above this share of memory, runs preempt each other as they grow. */
const highMemoryLoad = 0.85;
const highMemoryFactor = 20;
/** This many waiting prompt tokens delay a new request as much as a full memory slows down its stream. */
const waitingTokensPerLoad = 6_000;
/** Cost factor for each unit of failure share above the median of the servers. */
const failureFactor = 6;

/**
 * Returns the candidate with the lowest cost, or undefined if there are no candidates. Candidates of nearly equal cost
 * are chosen at random, so that instances with the same information don't all choose the same server.
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
    const medianTime = median(views.flatMap(view => view.responseTime ?? []));
    const medianFailureShare = median(views.map(view => view.failureShare)) ?? 0;
    const costs = views.map(view => costOf(view, medianTime, medianFailureShare) * (1 + costJitter * random()));
    return candidates[costs.indexOf(Math.min(...costs))];
}

function costOf(view: PlacementView, medianTime: Milliseconds | undefined, medianFailureShare: number): number {
    const relativeTime = view.responseTime === undefined || medianTime === undefined
        ? 1
        : Math.max(0.5, view.responseTime / Math.max(1, medianTime));
    const warmUp = view.isWarmingUp ? warmUpFactor : 1;
    const distance = view.isSameFailureDomain ? 1 : otherDomainFactor;
    const excessMemory = Math.max(0, view.memoryLoad - highMemoryLoad);
    const work = idleCost + view.load + view.memoryLoad + excessMemory * highMemoryFactor
        + view.waitingTokens / waitingTokensPerLoad;
    // Failures that all servers share are caused by the requests.
    const excessFailures = Math.max(0, view.failureShare - medianFailureShare);
    return work * relativeTime * (1 + failureFactor * excessFailures) * warmUp * distance;
}

function median(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((one, other) => one - other);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** The properties of an engine that may host a replica. */
export interface ReplicaHostView {
    /** Share of the engine's memory in use. */
    readonly load: number;
    /** Whether the engine is in the failure domain of the run's own engine. */
    readonly isSameFailureDomain: boolean;
}

/** Limits and preferences for placing a replica. */
export interface ReplicaPlacementRule {
    /** Highest share of the engine's memory that may be in use with the replica. */
    readonly maxLoad: number;
    /** How many times as likely as another an engine in the same failure domain is, where copying takes half as long. */
    readonly sameDomainFactor: number;
}

/** Up to this share of the engines' memory, each run and a replica of it fit into memory together. */
const maxRunLoadForReplicas = 0.55;

/**
 * Whether the engines have memory to spare for replicas. Beyond that, a replica takes the place of another run, which is
 * refused for certain, while the run that it protects is lost only if its engine fails and it can't be migrated.
 *
 * @param runLoad share of the memory of all engines that runs hold
 * @example
 * const isReplicated = hasMemoryForReplicas(0.4);
 */
export function hasMemoryForReplicas(runLoad: number): boolean {
    return runLoad <= maxRunLoadForReplicas;
}

/** Replicas kept in case of a failure use only memory that the runs leave free. */
export const replicaPlacement: ReplicaPlacementRule = { maxLoad: 0.7, sameDomainFactor: 1.5 };

/**
 * The target of a migration may be filled further, since the stream would otherwise be lost. Copying must finish before
 * the old server is gone, so the same failure domain counts for more.
 */
export const migrationPlacement: ReplicaPlacementRule = { maxLoad: 0.95, sameDomainFactor: 5 };

/**
 * Returns an engine that can host a replica, or undefined if every engine would exceed the limit: on highly loaded
 * engines, replicas would cause preemption of the runs that they protect. An engine is chosen with a probability in
 * proportion to the memory that it would have left. When an engine leaves, all instances choose targets for its streams
 * at the same moment, before any of them knows the others' choices; this fills the engines evenly even so.
 *
 * @param share size of the replica as a share of an engine's memory
 * @example
 * const host = chooseReplicaHost(others, other => viewOf(other), 0.12, random);
 */
export function chooseReplicaHost<Candidate>(
    candidates: readonly Candidate[],
    viewOf: (candidate: Candidate) => ReplicaHostView,
    share: number,
    random: Random,
    { maxLoad, sameDomainFactor }: ReplicaPlacementRule = replicaPlacement,
): Candidate | undefined {
    const weights = candidates.map(candidate => {
        const { load, isSameFailureDomain } = viewOf(candidate);
        return Math.max(0, maxLoad - load - share) * (isSameFailureDomain ? sameDomainFactor : 1);
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remaining = random() * total;
    return candidates.find((_, index) => (remaining -= weights[index]) < 0);
}
