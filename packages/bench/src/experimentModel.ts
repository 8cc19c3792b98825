/**
 * One run of an experiment in virtual time: the product's routing, admission, forecast and queue functions drive the
 * batching model of the engine stand-in.
 */
import {
    type AdmissionPolicy,
    chooseNext,
    countAhead,
    createLengthForecast,
    expectedWait,
    forecastFreeTokens,
    forecastLength,
    type GenerationView,
    type LengthForecast,
    type PriorityPolicy,
    type QueueOrder,
    type Random,
    recordLength,
    type RoutingPolicy,
    seededSource,
} from "@verbenaspring/coordination";
import { identifier, type Milliseconds, type OrganisationId, type ServiceName } from "@verbenaspring/model";
import {
    addSequence,
    createEngine,
    defaultEngine,
    type EngineModel,
    removeSequence,
    type Sequence,
    stepEngine,
} from "@verbenaspring/stand-ins";
import { build, type Histogram } from "hdr-histogram-js";
import { isSmallOrganisation, type WorkloadRequest } from "./experimentWorkloads.js";

/** A policy under comparison. */
export interface ExperimentPolicy {
    readonly name: string;
    readonly admission: AdmissionPolicy;
    readonly queueOrder: QueueOrder;
    /** Whether short work may start before long work that does not fit in memory. */
    readonly shortWorkMayPass: boolean;
    readonly routing: RoutingPolicy;
    /** The priority of a request at the engine, which preempts the lowest first when its memory is full. */
    readonly priority: PriorityPolicy;
    /** Whether a request that can't start before its deadline is refused on arrival. */
    readonly refusesUnmeetableDeadlines: boolean;
    /** Requests that may wait for one engine where `refusesUnmeetableDeadlines` is set. */
    readonly maximumQueue: number;
}

/** The conditions of a run, which are the same for each policy. */
export interface ExperimentOptions {
    readonly engines: number;
    readonly duration: Milliseconds;
    readonly seed: number;
    /** Whether one engine is lost for the middle third of the run. */
    readonly losesEngine: boolean;
}

/**
 * The result of a run. Times are in milliseconds. What happens in the first 20 s is not counted, except for `late`,
 * `preemptions` and `recomputedTokens`.
 */
export interface ExperimentResult {
    /** Requests that arrived. */
    asked: number;
    /** Requests that were answered in full. */
    whole: number;
    /** Requests that were refused on arrival. */
    refused: number;
    /** Requests that passed their deadline or were running at the engine that was lost. */
    late: number;
    preemptions: number;
    recomputedTokens: number;
    tokens: number;
    /** Tokens of complete answers, a second. */
    goodput: number;
    /** For each complete answer, the longest time without a token. */
    readonly stalls: Histogram;
    /** The same for short work only. */
    readonly shortStalls: Histogram;
    /** The same for small organisations only. */
    readonly smallStalls: Histogram;
    /** The sum of all times above 250 ms without a token. */
    totalStall: number;
    readonly tokenIntervals: Histogram;
}

interface QueuedRequest {
    readonly request: WorkloadRequest;
    readonly id: string;
    readonly organisation: OrganisationId;
    readonly workKind: "short" | "long";
    readonly weight: number;
    readonly arrivedAt: Milliseconds;
}

interface RunningRequest extends QueuedRequest {
    readonly sequence: Sequence;
    readonly startedAt: Milliseconds;
    lastTokenAt: Milliseconds;
    longestStall: Milliseconds;
}

interface EngineNode {
    readonly index: number;
    engine: EngineModel;
    readonly queue: Set<QueuedRequest>;
    readonly running: Map<string, RunningRequest>;
    readonly forecast: LengthForecast;
    nextStepAt: Milliseconds;
    readonly meanDurations: { short: Milliseconds; long: Milliseconds; };
    isLost: boolean;
    /** The load that routing sees: the last report, and what was sent since. */
    reported: { freeTokens: number; expectedWait: Milliseconds; sentSinceReport: number; };
}

const service = identifier<ServiceName>("service");
/** Interval of load reports and of deadline checks. */
const reportInterval: Milliseconds = 500;
/** Weight of a new duration in the moving average of durations. */
const durationWeight = 0.05;
/** Only longer times without a token count towards the total stall. */
const stallThreshold: Milliseconds = 250;
/** The start of a run that is not counted. */
const warmUp: Milliseconds = 20_000;

/**
 * Runs a policy over a list of arrivals.
 *
 * @example
 * const result = runExperiment(policy, requests, { engines: 4, duration: 300_000, seed: 1, losesEngine: false });
 */
export function runExperiment(
    policy: ExperimentPolicy,
    requests: readonly WorkloadRequest[],
    options: ExperimentOptions,
): ExperimentResult {
    return new ExperimentRun(policy, requests, options).run();
}

class ExperimentRun {
    private now: Milliseconds = 0;
    private readonly nodes: EngineNode[];
    private readonly random: Random;
    private readonly result: ExperimentResult = emptyResult();
    private nextArrival = 0;
    private nextReportAt: Milliseconds = 0;

    constructor(
        private readonly policy: ExperimentPolicy,
        private readonly requests: readonly WorkloadRequest[],
        private readonly options: ExperimentOptions,
    ) {
        this.random = seededSource(options.seed).random;
        this.nodes = Array.from({ length: options.engines }, (_, index) => createEngineNode(index));
    }

    run(): ExperimentResult {
        while (this.now < this.options.duration) {
            this.advance();
        }
        const measuredSeconds = (this.options.duration - warmUp) / 1_000;
        this.result.goodput /= measuredSeconds;
        for (const { engine } of this.nodes) {
            this.result.preemptions += engine.preemptions;
            this.result.recomputedTokens += engine.recomputedTokens;
        }
        return this.result;
    }

    private advance(): void {
        const arrivesAt = this.requests[this.nextArrival]?.arrivesAt ?? Infinity;
        const nextNode = this.nodes.reduce((first, node) => node.nextStepAt < first.nextStepAt ? node : first);
        const next = Math.min(arrivesAt, nextNode.nextStepAt, this.nextReportAt);
        this.now = next;
        if (next === this.nextReportAt) {
            this.reportLoads();
        }
        else if (next === arrivesAt) {
            this.handleArrival(this.requests[this.nextArrival], this.nextArrival++);
        }
        else {
            this.step(nextNode);
        }
    }

    private reportLoads(): void {
        this.nextReportAt = this.now + reportInterval;
        this.updateEngineLoss();
        for (const node of this.nodes) {
            const view = this.createEngineView(node);
            const wait = node.queue.size === 0
                ? 0
                : expectedWait(node.queue.size, node.running.size, node.meanDurations.long);
            node.reported = { freeTokens: forecastFreeTokens(view, 1), expectedWait: wait, sentSinceReport: 0 };
            this.expireRequests(node);
        }
    }

    /** Loses the last engine for the middle third of the run; its queue moves to the others. */
    private updateEngineLoss(): void {
        if (!this.options.losesEngine) {
            return;
        }
        const node = this.nodes[this.nodes.length - 1];
        const third = this.options.duration / 3;
        const isLost = this.now >= third && this.now < 2 * third;
        if (isLost && !node.isLost) {
            this.result.late += node.running.size;
            const displaced = [...node.queue];
            node.queue.clear();
            node.running.clear();
            node.engine = createEngine(defaultEngine);
            node.isLost = true;
            displaced.forEach(queued => this.dispatch(queued));
        }
        node.isLost = isLost;
    }

    private expireRequests(node: EngineNode): void {
        for (const queued of node.queue) {
            if (this.now - queued.arrivedAt > queued.request.kind.deadline) {
                node.queue.delete(queued);
                this.result.late++;
            }
        }
        for (const running of [...node.running.values()]) {
            if (this.now - running.arrivedAt > running.request.kind.deadline) {
                removeSequence(node.engine, running.id);
                node.running.delete(running.id);
                this.result.late++;
            }
        }
    }

    private handleArrival(request: WorkloadRequest, index: number): void {
        if (this.now >= warmUp) {
            this.result.asked++;
        }
        this.dispatch({
            request,
            id: String(index),
            organisation: request.organisation,
            workKind: request.kind.workKind,
            weight: 1,
            arrivedAt: this.now,
        });
    }

    private dispatch(queued: QueuedRequest): void {
        const live = this.nodes.filter(node => !node.isLost);
        const views = live.map(({ index, reported }) => ({
            backendServer: identifier<never>(String(index)),
            ...reported,
        }));
        const chosen = this.policy.routing(views, this.random);
        const node = live[views.indexOf(chosen as never)];
        node.reported.sentSinceReport++;
        if (this.policy.refusesUnmeetableDeadlines && this.isDeadlineUnmeetable(node, queued)) {
            this.result.refused += this.now >= warmUp ? 1 : 0;
            return;
        }
        node.queue.add(queued);
        this.startQueued(node);
    }

    private isDeadlineUnmeetable(node: EngineNode, queued: QueuedRequest): boolean {
        if (node.queue.size >= this.policy.maximumQueue) {
            return true;
        }
        const { workKind } = queued;
        const sameKind = [...node.queue].filter(each => each.workKind === workKind);
        const ahead = countAhead(sameKind, queued, organisationShares(node), this.policy.queueOrder);
        const running = [...node.running.values()].filter(each => each.workKind === workKind).length;
        const wait = expectedWait(ahead, running, node.meanDurations[workKind]);
        return sameKind.length > 0 && wait > queued.request.kind.deadline;
    }

    private startQueued(node: EngineNode): void {
        while (node.queue.size > 0) {
            const view = this.createEngineView(node);
            const choice = {
                queue: node.queue,
                shares: organisationShares(node),
                order: this.policy.queueOrder,
                fits: (queued: QueuedRequest) => this.policy.admission(view, generationView(node, queued, 0)),
                shortShare: this.policy.shortWorkMayPass ? shortWorkMemoryShare(node) : 1,
            };
            const next = chooseNext(choice);
            if (next === undefined) {
                return;
            }
            this.startRequest(node, next);
        }
    }

    private startRequest(node: EngineNode, queued: QueuedRequest): void {
        node.queue.delete(queued);
        const { request, id } = queued;
        const sequence = addSequence(node.engine, {
            id,
            priority: this.policy.priority(queued, this.now),
            promptTokens: request.kind.promptTokens,
            prefix: "",
            outputTokens: request.outputTokens,
        });
        const running = { ...queued, sequence, startedAt: this.now, lastTokenAt: queued.arrivedAt, longestStall: 0 };
        node.running.set(id, running);
        if (node.nextStepAt === Infinity) {
            node.nextStepAt = this.now;
        }
    }

    private createEngineView(node: EngineNode) {
        const running = [...node.running.values()].map(each =>
            generationView(node, each, each.sequence.generatedTokens)
        );
        return { memoryTokens: defaultEngine.memoryTokens, running };
    }

    private step(node: EngineNode): void {
        const step = stepEngine(node.engine);
        const doneAt = this.now + step.duration;
        for (const sequence of step.produced) {
            const running = node.running.get(sequence.id);
            if (running !== undefined) {
                this.recordToken(running, doneAt);
            }
        }
        for (const sequence of step.ended) {
            this.finish(node, node.running.get(sequence.id), doneAt);
        }
        node.nextStepAt = node.running.size === 0 ? Infinity : doneAt;
        if (step.ended.length > 0) {
            this.startQueued(node);
        }
    }

    private recordToken(running: RunningRequest, at: Milliseconds): void {
        const interval = at - running.lastTokenAt;
        running.lastTokenAt = at;
        running.longestStall = Math.max(running.longestStall, interval);
        if (at < warmUp) {
            return;
        }
        this.result.tokens++;
        this.result.totalStall += interval > stallThreshold ? interval : 0;
        if (running.sequence.generatedTokens > 1) {
            this.result.tokenIntervals.recordValue(interval);
        }
    }

    private finish(node: EngineNode, running: RunningRequest | undefined, at: Milliseconds): void {
        if (running === undefined) {
            return;
        }
        node.running.delete(running.id);
        recordLength(node.forecast, forecastSubject(running), running.sequence.generatedTokens);
        const mean = node.meanDurations[running.workKind];
        node.meanDurations[running.workKind] += durationWeight * (at - running.startedAt - mean);
        if (at < warmUp) {
            return;
        }
        this.result.whole++;
        this.result.goodput += running.sequence.generatedTokens;
        this.result.stalls.recordValue(running.longestStall);
        if (running.workKind === "short") {
            this.result.shortStalls.recordValue(running.longestStall);
        }
        if (isSmallOrganisation(running.organisation)) {
            this.result.smallStalls.recordValue(running.longestStall);
        }
    }
}

function emptyResult(): ExperimentResult {
    const histogram = (): Histogram => build({ highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });
    return {
        asked: 0,
        whole: 0,
        refused: 0,
        late: 0,
        preemptions: 0,
        recomputedTokens: 0,
        tokens: 0,
        goodput: 0,
        stalls: histogram(),
        shortStalls: histogram(),
        smallStalls: histogram(),
        totalStall: 0,
        tokenIntervals: histogram(),
    };
}

function createEngineNode(index: number): EngineNode {
    return {
        index,
        engine: createEngine(defaultEngine),
        queue: new Set(),
        running: new Map(),
        forecast: createLengthForecast(2_048),
        nextStepAt: Infinity,
        meanDurations: { short: 500, long: 500 },
        isLost: false,
        reported: { freeTokens: defaultEngine.memoryTokens, expectedWait: 0, sentSinceReport: 0 },
    };
}

function forecastSubject({ organisation, workKind }: QueuedRequest) {
    return { service, organisation, workKind };
}

function generationView(node: EngineNode, queued: QueuedRequest, tokensSoFar: number): GenerationView {
    return {
        workKind: queued.workKind,
        promptTokens: queued.request.kind.promptTokens,
        tokensSoFar,
        maximumTokens: 32_768,
        distribution: forecastLength(node.forecast, forecastSubject(queued)),
    };
}

function shortWorkMemoryShare(node: EngineNode): number {
    const short = [...node.running.values()].filter(each => each.workKind === "short");
    const tokens = short.reduce((sum, { sequence }) => sum + sequence.promptTokens + sequence.generatedTokens, 0);
    return tokens / defaultEngine.memoryTokens;
}

function organisationShares(node: EngineNode): ReadonlyMap<OrganisationId, number> {
    const shares = new Map<OrganisationId, number>();
    for (const { organisation, weight } of node.running.values()) {
        shares.set(organisation, (shares.get(organisation) ?? 0) + 1 / weight);
    }
    return shares;
}
