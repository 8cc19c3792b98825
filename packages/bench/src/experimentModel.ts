/**
 * One run of an experiment: the real routing, admission, forecast and queue functions before the engine stand-in's own
 * batching model, in virtual time.
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
    /** Whether short work may pass long work that does not fit. */
    readonly shortWorkMayPass: boolean;
    readonly routing: RoutingPolicy;
    /** What the engine is told: higher is kept longer when its memory is full. */
    readonly priority: PriorityPolicy;
    /** Whether what can't start before its deadline is refused at once. */
    readonly refusesUnmeetableDeadlines: boolean;
    readonly maximumQueue: number;
}

/** A run's surroundings. */
export interface ExperimentOptions {
    readonly engines: number;
    readonly duration: Milliseconds;
    readonly seed: number;
    /** An engine is lost for a third of the run. */
    readonly losesEngine: boolean;
}

/** What a run gave. Times are in milliseconds. */
export interface ExperimentResult {
    asked: number;
    whole: number;
    /** Told at once that it was not run. */
    refused: number;
    /** Given up at its deadline or with its engine. */
    late: number;
    preemptions: number;
    recomputedTokens: number;
    tokens: number;
    /** Tokens of whole answers a second. */
    goodput: number;
    /** The longest silence of each caller that was served. */
    readonly stalls: Histogram;
    readonly shortStalls: Histogram;
    readonly smallStalls: Histogram;
    totalStall: number;
    readonly tokenIntervals: Histogram;
}

interface Waiting {
    readonly request: WorkloadRequest;
    readonly id: string;
    readonly organisation: OrganisationId;
    readonly workKind: "short" | "long";
    readonly weight: number;
    readonly arrivedAt: Milliseconds;
}

interface Running extends Waiting {
    readonly sequence: Sequence;
    readonly startedAt: Milliseconds;
    lastToken: Milliseconds;
    longestSilence: Milliseconds;
}

interface EngineNode {
    readonly index: number;
    engine: EngineModel;
    readonly queue: Set<Waiting>;
    readonly running: Map<string, Running>;
    readonly forecast: LengthForecast;
    nextStep: Milliseconds;
    readonly meanDurations: { short: Milliseconds; long: Milliseconds; };
    isLost: boolean;
    /** What routing sees, as of the last report. */
    reported: { freeTokens: number; expectedWait: Milliseconds; sentSinceReport: number; };
}

const service = identifier<ServiceName>("service");
const reportInterval: Milliseconds = 500;
const durationWeight = 0.05;
/** Silence longer than this counts towards a caller's total stall. */
const stallThreshold: Milliseconds = 250;
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
    private nextReport: Milliseconds = 0;

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
        const measured = (this.options.duration - warmUp) / 1_000;
        this.result.goodput /= measured;
        for (const { engine } of this.nodes) {
            this.result.preemptions += engine.preemptions;
            this.result.recomputedTokens += engine.recomputedTokens;
        }
        return this.result;
    }

    private advance(): void {
        const arrival = this.requests[this.nextArrival]?.arrivesAt ?? Infinity;
        const stepping = this.nodes.reduce((first, node) => node.nextStep < first.nextStep ? node : first);
        const next = Math.min(arrival, stepping.nextStep, this.nextReport);
        this.now = next;
        if (next === this.nextReport) {
            this.report();
        }
        else if (next === arrival) {
            this.arrive(this.requests[this.nextArrival], this.nextArrival++);
        }
        else {
            this.step(stepping);
        }
    }

    private report(): void {
        this.nextReport = this.now + reportInterval;
        this.loseOrRestore();
        for (const node of this.nodes) {
            const view = this.engineView(node);
            const wait = node.queue.size === 0
                ? 0
                : expectedWait(node.queue.size, node.running.size, node.meanDurations.long);
            node.reported = { freeTokens: forecastFreeTokens(view, 1), expectedWait: wait, sentSinceReport: 0 };
            this.expire(node);
        }
    }

    /** The last engine is lost for the middle third of the run. */
    private loseOrRestore(): void {
        if (!this.options.losesEngine) {
            return;
        }
        const node = this.nodes[this.nodes.length - 1];
        const third = this.options.duration / 3;
        const isLost = this.now >= third && this.now < 2 * third;
        if (isLost && !node.isLost) {
            this.result.late += node.running.size;
            const moved = [...node.queue];
            node.queue.clear();
            node.running.clear();
            node.engine = createEngine(defaultEngine);
            node.isLost = true;
            moved.forEach(waiting => this.place(waiting));
        }
        node.isLost = isLost;
    }

    private expire(node: EngineNode): void {
        for (const waiting of node.queue) {
            if (this.now - waiting.arrivedAt > waiting.request.kind.deadline) {
                node.queue.delete(waiting);
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

    private arrive(request: WorkloadRequest, index: number): void {
        if (this.now >= warmUp) {
            this.result.asked++;
        }
        this.place({
            request,
            id: String(index),
            organisation: request.organisation,
            workKind: request.kind.workKind,
            weight: 1,
            arrivedAt: this.now,
        });
    }

    private place(waiting: Waiting): void {
        const live = this.nodes.filter(node => !node.isLost);
        const views = live.map(({ index, reported }) => ({
            backendServer: identifier<never>(String(index)),
            ...reported,
        }));
        const chosen = this.policy.routing(views, this.random);
        const node = live[views.indexOf(chosen as never)];
        node.reported.sentSinceReport++;
        if (this.policy.refusesUnmeetableDeadlines && this.isHopeless(node, waiting)) {
            this.result.refused += this.now >= warmUp ? 1 : 0;
            return;
        }
        node.queue.add(waiting);
        this.startWaiting(node);
    }

    private isHopeless(node: EngineNode, waiting: Waiting): boolean {
        if (node.queue.size >= this.policy.maximumQueue) {
            return true;
        }
        const { workKind } = waiting;
        const sameKind = [...node.queue].filter(each => each.workKind === workKind);
        const ahead = countAhead(sameKind, waiting, sharesOf(node), this.policy.queueOrder);
        const running = [...node.running.values()].filter(each => each.workKind === workKind).length;
        const wait = expectedWait(ahead, running, node.meanDurations[workKind]);
        return sameKind.length > 0 && wait > waiting.request.kind.deadline;
    }

    private startWaiting(node: EngineNode): void {
        while (node.queue.size > 0) {
            const view = this.engineView(node);
            const choice = {
                queue: node.queue,
                shares: sharesOf(node),
                order: this.policy.queueOrder,
                fits: (waiting: Waiting) => this.policy.admission(view, viewOf(node, waiting, 0)),
                shortShare: this.policy.shortWorkMayPass ? shortShare(node) : 1,
            };
            const next = chooseNext(choice);
            if (next === undefined) {
                return;
            }
            this.start(node, next);
        }
    }

    private start(node: EngineNode, waiting: Waiting): void {
        node.queue.delete(waiting);
        const { request, id } = waiting;
        const sequence = addSequence(node.engine, {
            id,
            priority: this.policy.priority(waiting, this.now),
            promptTokens: request.kind.promptTokens,
            prefix: "",
            outputTokens: request.outputTokens,
        });
        const running = { ...waiting, sequence, startedAt: this.now, lastToken: waiting.arrivedAt, longestSilence: 0 };
        node.running.set(id, running);
        if (node.nextStep === Infinity) {
            node.nextStep = this.now;
        }
    }

    private engineView(node: EngineNode) {
        const running = [...node.running.values()].map(each => viewOf(node, each, each.sequence.produced));
        return { memoryTokens: defaultEngine.memoryTokens, running };
    }

    private step(node: EngineNode): void {
        const step = stepEngine(node.engine);
        const done = this.now + step.duration;
        for (const sequence of step.produced) {
            const running = node.running.get(sequence.id);
            if (running !== undefined) {
                this.takeToken(running, done);
            }
        }
        for (const sequence of step.ended) {
            this.end(node, node.running.get(sequence.id), done);
        }
        node.nextStep = node.running.size === 0 ? Infinity : done;
        if (step.ended.length > 0) {
            this.startWaiting(node);
        }
    }

    private takeToken(running: Running, at: Milliseconds): void {
        const silence = at - running.lastToken;
        running.lastToken = at;
        running.longestSilence = Math.max(running.longestSilence, silence);
        if (at < warmUp) {
            return;
        }
        this.result.tokens++;
        this.result.totalStall += silence > stallThreshold ? silence : 0;
        if (running.sequence.produced > 1) {
            this.result.tokenIntervals.recordValue(silence);
        }
    }

    private end(node: EngineNode, running: Running | undefined, at: Milliseconds): void {
        if (running === undefined) {
            return;
        }
        node.running.delete(running.id);
        recordLength(node.forecast, subjectOf(running), running.sequence.produced);
        const mean = node.meanDurations[running.workKind];
        node.meanDurations[running.workKind] += durationWeight * (at - running.startedAt - mean);
        if (at < warmUp) {
            return;
        }
        this.result.whole++;
        this.result.goodput += running.sequence.produced;
        this.result.stalls.recordValue(running.longestSilence);
        if (running.workKind === "short") {
            this.result.shortStalls.recordValue(running.longestSilence);
        }
        if (isSmallOrganisation(running.organisation)) {
            this.result.smallStalls.recordValue(running.longestSilence);
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
        nextStep: Infinity,
        meanDurations: { short: 500, long: 500 },
        isLost: false,
        reported: { freeTokens: defaultEngine.memoryTokens, expectedWait: 0, sentSinceReport: 0 },
    };
}

function subjectOf({ organisation, workKind }: Waiting) {
    return { service, organisation, workKind };
}

function viewOf(node: EngineNode, waiting: Waiting, tokensSoFar: number): GenerationView {
    return {
        workKind: waiting.workKind,
        promptTokens: waiting.request.kind.promptTokens,
        tokensSoFar,
        maximumTokens: 32_768,
        distribution: forecastLength(node.forecast, subjectOf(waiting)),
    };
}

function shortShare(node: EngineNode): number {
    const short = [...node.running.values()].filter(each => each.workKind === "short");
    const tokens = short.reduce((sum, { sequence }) => sum + sequence.promptTokens + sequence.produced, 0);
    return tokens / defaultEngine.memoryTokens;
}

function sharesOf(node: EngineNode): ReadonlyMap<OrganisationId, number> {
    const shares = new Map<OrganisationId, number>();
    for (const { organisation, weight } of node.running.values()) {
        shares.set(organisation, (shares.get(organisation) ?? 0) + 1 / weight);
    }
    return shares;
}
