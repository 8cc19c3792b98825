/**
 * Plays a load on gateways and engines in virtual time. The gateways are the product's own reducers; engines, store,
 * network and callers are models. Engines leave at short notice and are replaced.
 */
import { seededSource } from "@verbenaspring/coordination";
import { type AnswerEffect, type EngineServer, type NetworkLatency, VirtualPlatform } from "@verbenaspring/emulator";
import type { RequestHead } from "@verbenaspring/gateway";
import { identifier, type Milliseconds, type RequestId } from "@verbenaspring/model";

/** One kind of streamed request. */
export interface StreamKind {
    readonly name: string;
    readonly requestsPerSecond: number;
    readonly promptTokens: number;
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
const engineService = "engine";
const host = "load.example";

/**
 * Plays a load.
 *
 * @example
 * const { kinds } = playEngineLoad(load, 7);
 */
export function playEngineLoad(load: EngineLoad, seed: number): EngineLoadResult {
    const { random } = seededSource(seed);
    const callers = new Map<RequestId, Caller>();
    const platform = new VirtualPlatform(
        {
            seed,
            gateways: load.gateways,
            retries: { ratio: 0.2, slack: 100, window: 10_000 },
            stopLimit: 8_000,
            latency: load.latency,
        },
        {
            runStarted: () => undefined,
            answered: (_, effect) => handleAnswer(effect),
            decisionLogged: () => undefined,
            callArrived: () => undefined,
            exited: () => undefined,
        },
    );
    const { clock, fleet } = platform;
    const engines: EngineServer[] = [];
    const results = load.kinds.map(({ name }): KindResult => ({
        name,
        asked: 0,
        onTime: 0,
        late: 0,
        paused: 0,
        refused: 0,
        cut: 0,
        firstEvents: [],
    }));

    const addEngine = (): void => {
        const model = fleet.add({
            kind: "engine",
            id: `engine-${engines.length}`,
            service: engineService,
            slots: load.slots,
            memoryTokens: load.memoryTokens,
            tokensPerEvent,
            stepTime: 7,
            stepTimePerRun: 0.12,
            prefillRate: 14,
            prefillChunk: 112,
            transferRate: 18,
        });
        engines.push(model as EngineServer);
    };

    const ask = (caller: Caller): void => {
        const requestId = platform.nextRequestId();
        callers.set(requestId, caller);
        const gateway = platform.gateways[Math.floor(random() * load.gateways)];
        const left = caller.firstAskedAt + caller.kind.deadline - clock.now;
        platform.ask(gateway, requestId, {
            ...caller.head,
            callerAttemptId: identifier(requestId),
            timeLimit: left,
        });
    };

    const handleAnswer = (effect: AnswerEffect): void => {
        const caller = callers.get(effect.requestId);
        if (caller === undefined) {
            return;
        }
        switch (effect.kind) {
            case "answerEvents":
                caller.firstEventAt ??= clock.now;
                caller.longestPause = Math.max(caller.longestPause, clock.now - (caller.lastEventAt ?? clock.now));
                caller.lastEventAt = clock.now;
                return;
            case "answerEnd":
                return finish(caller, effect.requestId);
            case "answerCut":
                caller.result.cut++;
                return void callers.delete(effect.requestId);
            case "answerFailure":
                callers.delete(effect.requestId);
                return handleFailure(caller, effect.failure.outcome === "not_run", effect.failure.retryAfter);
            default:
                return;
        }
    };

    const finish = (caller: Caller, requestId: RequestId): void => {
        callers.delete(requestId);
        const firstEvent = (caller.firstEventAt ?? clock.now) - caller.firstAskedAt;
        caller.result.firstEvents.push(firstEvent);
        const hasBegunOnTime = firstEvent <= caller.kind.targetLatency;
        const hasPaused = caller.longestPause > pauseTarget;
        caller.result[hasBegunOnTime && !hasPaused ? "onTime" : "late"]++;
        caller.result.paused += hasBegunOnTime && hasPaused ? 1 : 0;
    };

    /** A caller that was refused asks once more, when it was told to. */
    const handleFailure = (caller: Caller, mayRetry: boolean, retryAfter: Milliseconds | undefined): void => {
        const left = caller.firstAskedAt + caller.kind.deadline - clock.now;
        if (mayRetry && !caller.isRetry && (retryAfter ?? 0) <= left / 3) {
            clock.schedule(retryAfter ?? 0, () => ask({ ...caller, isRetry: true }));
            return;
        }
        caller.result[mayRetry ? "refused" : "cut"]++;
    };

    const logNormal = (median: number, spread: number): number =>
        median * Math.exp(spread * Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()));

    const arrive = (kind: StreamKind, result: KindResult): void => {
        clock.schedule(-Math.log(1 - random()) * 1_000 / kind.requestsPerSecond, () => arrive(kind, result));
        const median = kind.outputTokens * Math.exp(-kind.spread * kind.spread / 2);
        const maximumTokens = Math.round(2.4 * kind.outputTokens);
        const length = Math.max(tokensPerEvent, Math.min(maximumTokens, Math.round(logNormal(median, kind.spread))));
        const promptTokens = Math.round(Math.min(2 * kind.promptTokens, logNormal(kind.promptTokens, 0.35)));
        result.asked++;
        ask({
            kind,
            result,
            firstAskedAt: clock.now,
            isRetry: false,
            firstEventAt: undefined,
            lastEventAt: undefined,
            longestPause: 0,
            head: {
                callerAttemptId: identifier(""),
                method: "POST",
                target: `/${kind.name}/?length=${length}`,
                host,
                timeLimit: undefined,
                apiKey: undefined,
                lastEvent: undefined,
                promptTokens,
                maximumTokens,
                estimatedTokens: Math.max(1, Math.round(logNormal(length, kind.spread))),
                headers: [],
            },
        });
    };

    const leave = (): void => {
        const { interval, engines: count, notice } = load.departures;
        const live = fleet.liveServers();
        for (let left = 0; left < count && live.length > 0; left++) {
            const [server] = live.splice(Math.floor(random() * live.length), 1);
            fleet.leave(server.options.id, notice);
            clock.schedule(notice + replacementDelay, addEngine);
        }
        clock.schedule(interval, leave);
    };

    platform.configure(createConfiguration(load));
    for (let index = 0; index < load.engines; index++) {
        addEngine();
    }
    clock.advanceTo(warmUp);
    load.kinds.forEach((kind, index) => arrive(kind, results[index]));
    if (load.departures.engines > 0) {
        clock.schedule(load.departures.interval, leave);
    }
    clock.advanceTo(warmUp + load.duration);
    return { kinds: results, preemptions: engines.reduce((sum, engine) => sum + engine.preemptions, 0) };
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
