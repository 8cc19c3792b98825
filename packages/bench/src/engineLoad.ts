/**
 * Plays a load on gateways and engines in virtual time. The gateways are the product's own reducers; engines, store,
 * network and callers are models. Engines leave at short notice and are replaced.
 */
import { type Random, seededSource } from "@verbenaspring/coordination";
import { type AnswerEffect, type EngineServer, type NetworkLatency, VirtualPlatform } from "@verbenaspring/emulator";
import type { RequestHead } from "@verbenaspring/gateway";
import { identifier, type Milliseconds, type RequestId } from "@verbenaspring/model";

/** How the sizes of prompts are distributed around their median. */
export interface PromptSizes {
    /** Standard deviation of the logarithm of the size. */
    readonly spread: number;
    /** The largest size, as a multiple of the median. */
    readonly maximumFactor: number;
}

/** One kind of streamed request. */
export interface StreamKind {
    readonly name: string;
    readonly requestsPerSecond: number;
    readonly promptTokens: number;
    readonly promptSizes: PromptSizes;
    readonly outputTokens: number;
    /** Standard deviation of the logarithm of the output length, and of the error of the caller's estimate. */
    readonly spread: number;
    readonly targetLatency: Milliseconds;
    readonly deadline: Milliseconds;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly canResume: boolean;
}

/** The size of a deployment, and its load. */
export interface EngineLoad {
    readonly gateways: number;
    readonly engines: number;
    readonly slots: number;
    readonly memoryTokens: number;
    readonly kinds: readonly StreamKind[];
    /** How often engines leave, and how many at a time; 0 for none. */
    readonly departures: { readonly interval: Milliseconds; readonly engines: number; readonly notice: Milliseconds; };
    readonly latency: NetworkLatency;
    readonly duration: Milliseconds;
}

/** The size of a request that has ended, and whether it was answered completely. */
export interface SizedEnd {
    readonly promptTokens: number;
    readonly isServed: boolean;
}

/** What became of the requests of one kind. */
export interface KindResult {
    readonly name: string;
    asked: number;
    /** Complete, with the first event within the target latency and no long pause. */
    onTime: number;
    late: number;
    /** Those of the late ones whose first event was on time, but that paused for too long later. */
    paused: number;
    refused: number;
    cut: number;
    readonly firstEvents: Milliseconds[];
    readonly ends: SizedEnd[];
}

/** The result of a load. */
export interface EngineLoadResult {
    readonly kinds: readonly KindResult[];
    readonly preemptions: number;
}

interface Caller {
    readonly kind: StreamKind;
    readonly result: KindResult;
    readonly head: RequestHead;
    readonly firstAskedAt: Milliseconds;
    readonly isRetry: boolean;
    firstEventAt: Milliseconds | undefined;
    lastEventAt: Milliseconds | undefined;
    longestPause: Milliseconds;
}

const warmUp: Milliseconds = 2_000;
/** A longer pause between events makes an answer late. */
const pauseTarget: Milliseconds = 180;
const tokensPerEvent = 4;
const replacementDelay: Milliseconds = 4_000;
/** Callers come back within this share of the time that they have left. */
const maximumRetryShare = 1 / 3;
const maximumOutputFactor = 2.4;
/** Speeds of the engines of all deployments: times in milliseconds, rates in tokens per millisecond. */
const engineSpeed = { stepTime: 7, stepTimePerRun: 0.12, prefillRate: 14, prefillChunk: 112, transferRate: 18 };
const engineService = "engine";
const host = "load.example";

/**
 * Plays a load.
 *
 * @example
 * const { kinds } = playEngineLoad(load, 7);
 */
export function playEngineLoad(load: EngineLoad, seed: number): EngineLoadResult {
    return new LoadedPlatform(load, seed).play();
}

/**
 * Returns the share of the requests that were answered completely in each tenth by the size of their prompts, the
 * smallest first.
 *
 * @example
 * const [smallest] = servedByTenth(kinds.flatMap(kind => kind.ends));
 */
export function servedByTenth(ends: readonly SizedEnd[]): number[] {
    const tenths = 10;
    const bySize = [...ends].sort((one, other) => one.promptTokens - other.promptTokens);
    return Array.from({ length: tenths }, (_, index) => {
        const start = Math.floor(index * bySize.length / tenths);
        return servedShare(bySize.slice(start, Math.floor((index + 1) * bySize.length / tenths)));
    });
}

/** Returns the share of the requests that were answered completely; 0 if there are none. */
export function servedShare(ends: readonly SizedEnd[]): number {
    return ends.filter(({ isServed }) => isServed).length / Math.max(1, ends.length);
}

/** A platform in virtual time, its callers and the engines that leave. */
class LoadedPlatform {
    private readonly random: Random;
    private readonly platform: VirtualPlatform;
    private readonly engines: EngineServer[] = [];
    private readonly callers = new Map<RequestId, Caller>();
    private readonly results: readonly KindResult[];

    constructor(private readonly load: EngineLoad, seed: number) {
        this.random = seededSource(seed).random;
        this.results = load.kinds.map(({ name }) => createKindResult(name));
        this.platform = new VirtualPlatform(
            {
                seed,
                gateways: load.gateways,
                retries: { ratio: 0.2, slack: 100, window: 10_000 },
                stopLimit: 8_000,
                latency: load.latency,
            },
            {
                runStarted: () => undefined,
                answered: (_, effect) => this.handleAnswer(effect),
                decisionLogged: () => undefined,
                callArrived: () => undefined,
                pauseRequested: () => undefined,
                exited: () => undefined,
            },
        );
    }

    play(): EngineLoadResult {
        const { clock } = this.platform;
        const { kinds, departures, duration, engines } = this.load;
        this.platform.configure(createConfiguration(this.load));
        for (let index = 0; index < engines; index++) {
            this.addEngine();
        }
        clock.advanceTo(warmUp);
        kinds.forEach((kind, index) => this.scheduleArrival(kind, this.results[index]));
        if (departures.engines > 0) {
            clock.schedule(departures.interval, () => this.takeEnginesAway());
        }
        clock.advanceTo(warmUp + duration);
        const preemptions = this.engines.reduce((sum, engine) => sum + engine.preemptions, 0);
        return { kinds: this.results, preemptions };
    }

    private addEngine(): void {
        const model = this.platform.fleet.add({
            kind: "engine",
            id: `engine-${this.engines.length}`,
            service: engineService,
            slots: this.load.slots,
            memoryTokens: this.load.memoryTokens,
            tokensPerEvent,
            ...engineSpeed,
        });
        this.engines.push(model as EngineServer);
    }

    /** Some engines leave at short notice and are replaced a while later. */
    private takeEnginesAway(): void {
        const { clock, fleet } = this.platform;
        const { interval, engines, notice } = this.load.departures;
        const live = fleet.liveServers();
        for (let left = 0; left < engines && live.length > 0; left++) {
            const [server] = live.splice(Math.floor(this.random() * live.length), 1);
            fleet.leave(server.options.id, notice);
            clock.schedule(notice + replacementDelay, () => this.addEngine());
        }
        clock.schedule(interval, () => this.takeEnginesAway());
    }

    private scheduleArrival(kind: StreamKind, result: KindResult): void {
        const interval = -Math.log(1 - this.random()) * 1_000 / kind.requestsPerSecond;
        this.platform.clock.schedule(interval, () => {
            this.scheduleArrival(kind, result);
            result.asked++;
            this.ask({
                kind,
                result,
                head: this.drawHead(kind),
                firstAskedAt: this.platform.clock.now,
                isRetry: false,
                firstEventAt: undefined,
                lastEventAt: undefined,
                longestPause: 0,
            });
        });
    }

    /** Draws the sizes of a request. The caller's estimate is right at the median only. */
    private drawHead({ name, outputTokens, promptTokens, promptSizes, spread }: StreamKind): RequestHead {
        const median = outputTokens * Math.exp(-spread * spread / 2);
        const maximumTokens = Math.round(maximumOutputFactor * outputTokens);
        const drawnLength = Math.round(drawLogNormal(median, spread, this.random));
        const length = Math.max(tokensPerEvent, Math.min(maximumTokens, drawnLength));
        const drawnPrompt = drawLogNormal(promptTokens, promptSizes.spread, this.random);
        return {
            callerAttemptId: identifier(""),
            method: "POST",
            target: `/${name}/?length=${length}`,
            host,
            timeLimit: undefined,
            apiKey: undefined,
            lastEvent: undefined,
            resumedAttemptId: undefined,
            promptTokens: Math.round(Math.min(promptSizes.maximumFactor * promptTokens, drawnPrompt)),
            maximumTokens,
            estimatedTokens: Math.max(1, Math.round(drawLogNormal(length, spread, this.random))),
            sharedParts: [],
            headers: [],
        };
    }

    private ask(caller: Caller): void {
        const requestId = this.platform.nextRequestId();
        this.callers.set(requestId, caller);
        const gateway = this.platform.gateways[Math.floor(this.random() * this.load.gateways)];
        this.platform.ask(gateway, requestId, {
            ...caller.head,
            callerAttemptId: identifier(requestId),
            timeLimit: this.timeLeft(caller),
        });
    }

    private timeLeft({ firstAskedAt, kind }: Caller): Milliseconds {
        return firstAskedAt + kind.deadline - this.platform.clock.now;
    }

    private handleAnswer(effect: AnswerEffect): void {
        const caller = this.callers.get(effect.requestId);
        if (caller === undefined) {
            return;
        }
        switch (effect.kind) {
            case "answerEvents":
                return recordEvents(caller, this.platform.clock.now);
            case "answerEnd":
                this.callers.delete(effect.requestId);
                return recordEnd(caller, this.platform.clock.now);
            case "answerCut":
                this.callers.delete(effect.requestId);
                return recordUnserved(caller, "cut");
            case "answerFailure":
                this.callers.delete(effect.requestId);
                return this.handleFailure(caller, effect.failure.outcome === "not_run", effect.failure.retryAfter ?? 0);
            default:
                return;
        }
    }

    /** A caller that was refused asks once more, when it was told to. */
    private handleFailure(caller: Caller, isRefused: boolean, retryAfter: Milliseconds): void {
        if (isRefused && !caller.isRetry && retryAfter <= maximumRetryShare * this.timeLeft(caller)) {
            this.platform.clock.schedule(retryAfter, () => this.ask({ ...caller, isRetry: true }));
            return;
        }
        recordUnserved(caller, isRefused ? "refused" : "cut");
    }
}

function createKindResult(name: string): KindResult {
    return { name, asked: 0, onTime: 0, late: 0, paused: 0, refused: 0, cut: 0, firstEvents: [], ends: [] };
}

function recordUnserved({ result, head }: Caller, end: "refused" | "cut"): void {
    result[end]++;
    result.ends.push({ promptTokens: head.promptTokens, isServed: false });
}

function recordEvents(caller: Caller, now: Milliseconds): void {
    caller.firstEventAt ??= now;
    caller.longestPause = Math.max(caller.longestPause, now - (caller.lastEventAt ?? now));
    caller.lastEventAt = now;
}

function recordEnd({ kind, result, head, firstAskedAt, firstEventAt, longestPause }: Caller, now: Milliseconds): void {
    const firstEvent = (firstEventAt ?? now) - firstAskedAt;
    const hasBegunOnTime = firstEvent <= kind.targetLatency;
    const hasPaused = longestPause > pauseTarget;
    result.firstEvents.push(firstEvent);
    result.ends.push({ promptTokens: head.promptTokens, isServed: true });
    result[hasBegunOnTime && !hasPaused ? "onTime" : "late"]++;
    result.paused += hasBegunOnTime && hasPaused ? 1 : 0;
}

/** Draws from a log-normal distribution, by the Box-Muller transform. */
function drawLogNormal(median: number, spread: number, random: Random): number {
    return median * Math.exp(spread * Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()));
}

function createConfiguration({ kinds, memoryTokens }: EngineLoad): object {
    const engine = { kvCapacity: memoryTokens, kvBytes: 1, replicas: true, migrations: true, stride: tokensPerEvent };
    return {
        version: 1,
        routes: kinds.map(({ name, deadline, targetLatency, priority, canResume }) => ({
            name,
            hostname: host,
            pathPrefix: `/${name}/`,
            routeType: "streaming",
            timeoutMs: deadline,
            targetLatencyMs: targetLatency,
            priority,
            service: engineService,
            maxAttempts: canResume ? 2 : 1,
            public: true,
            streamResume: canResume,
        })),
        services: [{ name: engineService, backend: engine }],
        tenants: [],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_096, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}
