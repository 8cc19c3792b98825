/**
 * Limits and forecasts that decide whether work starts at once, waits for capacity or is refused. They use the memory
 * load of an engine and the rate at which requests end.
 */
import type { Milliseconds, OrganisationId } from "@verbenaspring/model";
import type { OrganisationShares } from "./waitQueue.js";

/** Highest share of an engine's memory that may be in use after a request has started. */
export interface AdmissionLimits {
    /** For the routes of the highest priority. */
    readonly mostUrgent: number;
    /** For all other routes: when memory is short, the most urgent work gets what is left. */
    readonly others: number;
}

/** Limits for engines whose load is known except for what other instances have not reported yet. */
export const admissionLimits: AdmissionLimits = { mostUrgent: 0.95, others: 0.88 };

/**
 * Share of the target latency that a request may wait for capacity. A caller that is refused sooner can still be
 * answered on time after it has come back.
 */
const maxWaitShare = 0.05;

/** The input of {@link forecastCapacityWait}. */
export interface CapacityWaitInput {
    /** Requests of all instances that wait before this one. */
    readonly ahead: number;
    /** Requests in progress on all servers of the service. */
    readonly inProgress: number;
    /** Mean duration of one request. */
    readonly meanDuration: Milliseconds;
}

/**
 * Forecasts the time until there is capacity for a request: as long as it takes for all requests ahead of it and one
 * more to end.
 *
 * @example
 * const wait = forecastCapacityWait({ ahead: 3, inProgress: 100, meanDuration: 8_000 }); // 320 ms
 */
export function forecastCapacityWait({ ahead, inProgress, meanDuration }: CapacityWaitInput): Milliseconds {
    return Math.round((ahead + 1) * meanDuration / Math.max(1, inProgress));
}

/**
 * Returns the latest time at which a request may start: it is then answered within its target latency, and its caller
 * has not waited for long.
 *
 * @param firstEvent expected time from the start to the first event
 * @example
 * const waitUntil = latestStart(arrivedAt, 1_800, 400);
 */
export function latestStart(
    arrivedAt: Milliseconds,
    targetLatency: Milliseconds,
    firstEvent: Milliseconds,
): Milliseconds {
    return arrivedAt + Math.max(0, Math.min(maxWaitShare * targetLatency, targetLatency - firstEvent));
}

/** The prompts that an engine has to process before the first event of a request. */
export interface FirstEventInput {
    /** Prompt tokens that the engine has not processed yet. */
    readonly waitingTokens: number;
    readonly promptTokens: number;
    /** Prompt tokens that an engine processes in a millisecond beside its streams. */
    readonly prefillRate: number;
}

/**
 * Forecasts the time from the start of a request to its first event.
 *
 * @example
 * const time = forecastFirstEvent({ waitingTokens: 4_000, promptTokens: 3_000, prefillRate: 7 }); // 1,000 ms
 */
export function forecastFirstEvent({ waitingTokens, promptTokens, prefillRate }: FirstEventInput): Milliseconds {
    return (waitingTokens + promptTokens) / prefillRate;
}

/**
 * The time for the prompts that wait at an engine is right at the median only, so this multiple of it must leave time for
 * the request's own prompt.
 */
const backlogSafetyFactor = 2;

/** The input of {@link measureRoom}. */
export interface EngineRoomInput extends FirstEventInput {
    /** Share of the engine's memory in use. */
    readonly memoryLoad: number;
    readonly memoryLimit: number;
    /** Share of the engine's memory that one request needs. */
    readonly memoryShare: number;
    /** Time until the target latency of the request has passed. */
    readonly timeLeft: Milliseconds;
}

/** For how many requests of one size an engine has room, by each of the two that limit it. */
export interface EngineRoom {
    readonly byMemory: number;
    /** For how many the first event is forecast on time. */
    readonly byTime: number;
}

/**
 * Returns how many requests of one size can start at an engine now and have their first event on time. An engine without
 * runs has room for at least one, since waiting would not free more memory; an engine without waiting prompts has room
 * for at least one that fits in memory, since no engine would be faster.
 *
 * @example
 * const { byMemory, byTime } = measureRoom({ memoryLoad: 0.6, memoryLimit: 0.9, memoryShare: 0.1, ...prompts, timeLeft: 1_800 });
 */
export function measureRoom(input: EngineRoomInput): EngineRoom {
    const { memoryLoad, memoryLimit, memoryShare, waitingTokens, promptTokens, prefillRate, timeLeft } = input;
    const byMemory = Math.floor((memoryLimit - memoryLoad) / Math.max(memoryShare, Number.EPSILON));
    const spareTokens = timeLeft * prefillRate - promptTokens - backlogSafetyFactor * waitingTokens;
    const byTime = 1 + Math.floor(spareTokens / (backlogSafetyFactor * Math.max(1, promptTokens)));
    return {
        byMemory: Math.max(memoryLoad === 0 ? 1 : 0, byMemory),
        byTime: Math.max(waitingTokens === 0 ? 1 : 0, byTime),
    };
}

/**
 * Returns the probability with which an instance starts one of its requests now, so that all instances together start
 * about as many as there is room for. Without it, all of them would start theirs when an engine joins or memory becomes
 * free, before any of them knows of the others.
 *
 * @param room requests of this size for which the engines have room
 * @param others requests of all instances that wait beside this one
 * @example
 * const starts = random() < startProbability(2, 7);
 */
export function startProbability(room: number, others: number): number {
    return others === 0 ? 1 : Math.min(1, room / (others + 1));
}

/** The properties of a waiting request that decide its rank. */
export interface WaitingRequestView {
    readonly organisation: OrganisationId;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedAt: Milliseconds;
}

/** Requests rank as if they had arrived this much later for each step of their priority. */
const priorityPenalty: Milliseconds = 1_000;
/** Requests rank as if they had arrived this much later for each running request of their organisation. */
const runningPenalty: Milliseconds = 100;

/**
 * Returns the rank of a waiting request; the lowest starts first. Urgent requests precede others, and organisations with
 * little running work those with much. Both penalties are finite, so none starves.
 *
 * @param running requests in progress of each organisation
 * @example
 * waiting.sort((one, other) => startRank(one, running) - startRank(other, running));
 */
export function startRank(
    { organisation, priority, arrivedAt }: WaitingRequestView,
    running: OrganisationShares,
): number {
    return arrivedAt + priorityPenalty * priority + runningPenalty * (running.get(organisation) ?? 0);
}
