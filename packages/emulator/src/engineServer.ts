/**
 * Model of an inference engine with continuous batching. Runs share its steps and its memory. Prompts are prefilled in
 * chunks between the decode steps of other runs. When memory runs out, the newest run of the lowest priority is
 * preempted and later recomputes its tokens. Replicas of other engines' runs use memory too.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import {
    AnswerLoss,
    type CallHandle,
    type CallObserver,
    defaultSoftwareVersion,
    type MigrationOutcome,
    type RefusalReason,
    type ReplicaReference,
    type RunObserver,
    type RunReport,
    type ServerBehaviour,
    type ServerCall,
    type ServerModel,
    type ServerOptions,
    type ServerRun,
} from "./serverModel.js";

/** Size and speed of an engine. */
export interface EngineOptions extends ServerOptions {
    readonly slots: number;
    readonly memoryTokens: number;
    readonly tokensPerEvent: number;
    /** Base duration of a step, which generates one token of each decoding run. */
    readonly stepTime: Milliseconds;
    /** Added to the duration of a step for each decoding run. */
    readonly stepTimePerRun: Milliseconds;
    /** Prompt tokens prefilled per millisecond. */
    readonly prefillRate: number;
    /** Prompt tokens prefilled in one step at most. */
    readonly prefillChunk?: number;
    /** Tokens of a run's memory transferred to another engine per millisecond. */
    readonly transferRate: number;
    /**
     * Whether streams have neither a length nor chunks. The end of the engine, and of a run that is stopped, then closes
     * their connections in order. False if absent.
     */
    readonly isUnframed?: boolean;
    /** Whether runs end at the time limits of their calls; false if absent. */
    readonly stopsAtTimeLimit?: boolean;
    /** The time after which a report is replaced by a new one; if absent, each report is of the present. */
    readonly reportInterval?: Milliseconds;
}

interface EngineRun {
    readonly call: ServerCall;
    readonly observer: CallObserver;
    readonly record: ServerRun;
    /** Output tokens so far, including those up to `lastEvent`, which the caller already has. */
    generatedTokens: number;
    /** Prompt and output tokens to compute before the next token is generated. */
    remainingPrefill: number;
    /** The newest copy that a migration made; another migration to the same target transfers only what is new. */
    copy: { readonly target: string; readonly handle: string; readonly tokens: number; } | undefined;
    hasEnded: boolean;
    /** The caller gets nothing more of this run, even when the engine's behaviour returns to normal. */
    isSilent: boolean;
    /** Whether the next request to stop it is refused. */
    refusesStop: boolean;
}

/** The memory of another engine's run. */
interface RunReplica {
    readonly lineage: string;
    readonly tokens: number;
    readonly generatedTokens: number;
    readonly expiresAt: Milliseconds;
}

/** What an engine needs of the fleet that it belongs to. */
export interface EngineEnvironment {
    /** Finds the engine at an address. */
    readonly findEngine: (address: string) => EngineServer | undefined;
    /** Crashes the engine if it cannot run a call whose first token is due. Returns whether it did. */
    readonly crashUnder: (call: ServerCall) => boolean;
}

const defaultPrefillChunk = 256;
/** Interval at which the replicas of this engine's runs are updated. */
const replicationInterval: Milliseconds = 200;
/** How long a replica is kept after its last update. */
export const replicaLifetime: Milliseconds = 3_000;
/** How many times as long a step takes while the behaviour is `slow`. */
const slowdownFactor = 4;
/** A run is detached after so many events, by which a replica of it is to be expected. */
const detachedAfterEvents = 24;

/** Model of a backend server that is an engine. */
export class EngineServer implements ServerModel {
    readonly isEngine = true;
    readonly isUnframed: boolean;
    readonly slots: number;
    /** Number of preemptions so far. */
    preemptions = 0;
    behaviour: ServerBehaviour = "well";
    requestLimit: number | undefined = undefined;
    pause: Milliseconds | undefined = undefined;
    isLeaving = false;
    private running: EngineRun[] = [];
    private waiting: EngineRun[] = [];
    private readonly replicas = new Map<string, RunReplica>();
    private replicasSentAt: Milliseconds = 0;
    private isStepping = false;
    private isStopped = false;
    private readonly answerLoss = new AnswerLoss();
    private migrationCount = 0;
    private transferIdleAt: Milliseconds = 0;
    private lastReport: readonly RunReport[] = [];

    constructor(
        readonly options: EngineOptions,
        private readonly clock: Clock,
        private readonly observeRun: RunObserver,
        private readonly environment: EngineEnvironment,
    ) {
        this.slots = options.slots;
        this.isUnframed = options.isUnframed === true;
        if (options.reportInterval !== undefined) {
            this.renewReport(options.reportInterval);
        }
    }

    start(call: ServerCall, observer: CallObserver): CallHandle {
        const refusal = this.findRefusalReason(call);
        const isAnswerLost = refusal === undefined && !this.isStopped && this.behaviour === "lose"
            && this.answerLoss.losesNext();
        const replica = refusal === undefined && call.copy !== undefined ? this.consumeReplica(call.copy) : undefined;
        const lacksReplica = call.copy !== undefined && replica === undefined;
        if (refusal !== undefined || (lacksReplica && !isAnswerLost)) {
            observer.refused(refusal ?? "no_copy");
            return { cancel: () => undefined };
        }
        const run = this.createRun(call, observer, replica);
        if (isAnswerLost) {
            this.observeRun(run.record);
            this.end(run, false);
            observer.disconnected("reset");
            return { cancel: () => undefined };
        }
        this.waiting.push(run);
        this.startStepping();
        if (this.options.stopsAtTimeLimit === true) {
            this.clock.schedule(call.timeLimit, () => this.breakOff(run));
        }
        return {
            cancel: () => {
                if (run.record.isDetached !== true) {
                    this.end(run, false);
                }
            },
        };
    }

    private findRefusalReason({ target, promptTokens, outputTokens }: ServerCall): RefusalReason | undefined {
        if (target !== undefined && target !== this.options.id) {
            return "not_the_target";
        }
        if (this.behaviour === "shed") {
            return "full";
        }
        return promptTokens + outputTokens > this.options.memoryTokens ? "too_large" : undefined;
    }

    report(): readonly RunReport[] {
        return this.options.reportInterval === undefined ? this.listRuns() : this.lastReport;
    }

    private renewReport(interval: Milliseconds): void {
        if (!this.isStopped) {
            this.lastReport = this.listRuns();
            this.clock.schedule(interval, () => this.renewReport(interval));
        }
    }

    private listRuns(): readonly RunReport[] {
        return this.runs().map(({ call, generatedTokens }) => ({
            callerAttemptId: call.callerAttemptId,
            events: this.countEvents(generatedTokens),
        }));
    }

    /**
     * Transfers a run's memory to another engine. The run continues meanwhile, unless it is to stop first. Transfers are
     * done one after another.
     */
    migrate(
        callerAttemptId: string,
        target: string,
        isStopping: boolean,
        done: (outcome: MigrationOutcome) => void,
    ): void {
        const run = this.running.find(({ call }) => call.callerAttemptId === callerAttemptId);
        if (run === undefined || this.isStopped) {
            return done({ kind: "no_run" });
        }
        if (isStopping && run.refusesStop) {
            run.refusesStop = false;
            return done({ kind: "busy" });
        }
        const { now } = this.clock;
        const stoppedReplica = isStopping ? this.createReplica(run) : undefined;
        if (isStopping) {
            this.breakOff(run);
        }
        const known = run.copy?.target === target ? run.copy : undefined;
        const newTokens = usedTokens(run) - (known?.tokens ?? 0);
        this.transferIdleAt = Math.max(now, this.transferIdleAt) + newTokens / this.options.transferRate;
        const handle = known?.handle ?? `move-${this.options.id}-${++this.migrationCount}`;
        if (stoppedReplica !== undefined) {
            // The memory of a run that was stopped is kept here as well.
            this.replicas.set(`${this.options.address}/${handle}`, stoppedReplica);
        }
        this.clock.schedule(this.transferIdleAt - now, () => {
            if (this.isStopped || (run.hasEnded && !isStopping)) {
                return done({ kind: "no_run" });
            }
            const replica = stoppedReplica ?? this.createReplica(run);
            const isStored = this.environment.findEngine(target)?.storeReplica(
                { source: this.options.address, name: handle },
                replica,
            ) === true;
            run.copy = isStored ? { target, handle, tokens: replica.tokens } : run.copy;
            done(
                isStored
                    ? { kind: "moved", handle, events: this.countEvents(run.generatedTokens) }
                    : { kind: "no_room" },
            );
        });
    }

    crash(): void {
        this.isStopped = true;
        const open = this.runs();
        open.forEach(run => this.end(run, false));
        open.forEach(({ observer }) => observer.disconnected(this.isUnframed ? "closed" : "reset"));
        this.replicas.clear();
    }

    /** Stores or updates a replica of another engine's run. Returns false if it doesn't fit or this engine stopped. */
    storeReplica({ source, name }: ReplicaReference, replica: RunReplica): boolean {
        const key = `${source}/${name}`;
        const growth = replica.tokens - (this.replicas.get(key)?.tokens ?? 0);
        if (this.isStopped || this.usedMemory() + growth > this.options.memoryTokens) {
            return false;
        }
        this.replicas.set(key, replica);
        return true;
    }

    /** Deletes the replica of a run that ended. */
    deleteReplica({ source, name }: ReplicaReference): void {
        this.replicas.delete(`${source}/${name}`);
    }

    /** Removes a replica, also at its source, and returns it unless it has expired. A replica is continued at most once. */
    private consumeReplica({ source, name }: ReplicaReference): RunReplica | undefined {
        const key = `${source}/${name}`;
        const replica = this.replicas.get(key);
        this.replicas.delete(key);
        this.environment.findEngine(source)?.deleteReplica({ source, name });
        return replica !== undefined && replica.expiresAt > this.clock.now ? replica : undefined;
    }

    private createRun(call: ServerCall, observer: CallObserver, replica: RunReplica | undefined): EngineRun {
        const { id, service, tokensPerEvent } = this.options;
        const generatedTokens = call.lastEvent * tokensPerEvent;
        const remainingPrefill = replica === undefined
            ? call.promptTokens + generatedTokens
            : Math.max(1, generatedTokens - replica.generatedTokens);
        const record: ServerRun = {
            server: id,
            service,
            callerAttemptId: call.callerAttemptId,
            path: call.path,
            body: call.body,
            lineage: replica?.lineage ?? `${id}/${call.callerAttemptId}/${call.lastEvent}`,
            continuesFromReplica: replica !== undefined,
            startedAt: this.clock.now,
            endedAt: undefined,
            isComplete: false,
        };
        return {
            call,
            observer,
            record,
            generatedTokens,
            remainingPrefill,
            copy: undefined,
            hasEnded: false,
            isSilent: false,
            refusesStop: false,
        };
    }

    private runs(): EngineRun[] {
        return [...this.running, ...this.waiting];
    }

    private countEvents(generatedTokens: number): number {
        return Math.floor(generatedTokens / this.options.tokensPerEvent);
    }

    private usedMemory(): number {
        const used = this.running.reduce((sum, run) => sum + usedTokens(run), 0);
        return used + [...this.replicas.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    }

    private startStepping(): void {
        if (!this.isStepping && !this.isStopped) {
            this.isStepping = true;
            this.step();
        }
    }

    private step(): void {
        this.deleteExpiredReplicas();
        this.admitWaiting();
        if (this.isStopped || this.running.length === 0) {
            this.isStepping = false;
            return;
        }
        const { stepTime, stepTimePerRun, prefillRate } = this.options;
        const decoding = this.running.filter(({ remainingPrefill }) => remainingPrefill === 0);
        const prefilled = this.prefill();
        const factor = this.behaviour === "slow" ? slowdownFactor : 1;
        const duration = factor * (stepTime + stepTimePerRun * decoding.length + prefilled / prefillRate);
        this.clock.schedule(duration, () => {
            decoding.filter(run => this.running.includes(run)).forEach(run => this.generateToken(run));
            this.preempt();
            this.sendReplicas();
            this.step();
        });
    }

    /** Starts waiting runs while slots and memory suffice: first those with a replica, then by priority. */
    private admitWaiting(): void {
        this.waiting.sort((one, other) => startOrder(one) - startOrder(other));
        while (this.running.length < this.slots && this.waiting.length > 0) {
            const [next] = this.waiting;
            if (this.usedMemory() + usedTokens(next) > this.options.memoryTokens) {
                return;
            }
            this.waiting.shift();
            this.running.push(next);
        }
    }

    /** Prefills one chunk: first what replicas lack, then in the order of the runs. Returns the number of tokens. */
    private prefill(): number {
        const { prefillChunk = defaultPrefillChunk } = this.options;
        let remaining = prefillChunk;
        const continued = this.running.filter(({ record }) => record.continuesFromReplica);
        for (const run of [...continued, ...this.running]) {
            const chunk = Math.min(remaining, run.remainingPrefill);
            run.remainingPrefill -= chunk;
            remaining -= chunk;
        }
        return prefillChunk - remaining;
    }

    private generateToken(run: EngineRun): void {
        const { call, observer, record } = run;
        const { tokensPerEvent } = this.options;
        if (run.hasEnded) {
            return;
        }
        run.isSilent ||= this.behaviour === "silent";
        if (run.generatedTokens === call.lastEvent * tokensPerEvent) {
            this.startStream(run);
            if (this.environment.crashUnder(call)) {
                return;
            }
        }
        // The caller may have all events already.
        const hasNext = run.generatedTokens < call.outputTokens;
        run.generatedTokens += hasNext ? 1 : 0;
        const isLast = run.generatedTokens >= call.outputTokens;
        if (hasNext && !run.isSilent && (isLast || run.generatedTokens % tokensPerEvent === 0)) {
            observer.event({
                id: Math.ceil(run.generatedTokens / tokensPerEvent),
                lineage: record.lineage,
                softwareVersion: this.options.softwareVersion ?? defaultSoftwareVersion,
            });
        }
        if (isLast) {
            this.end(run, true);
            if (!run.isSilent) {
                observer.ended();
            }
        }
        else if (this.behaviour === "break") {
            this.end(run, false);
            observer.disconnected("reset");
        }
        else if (this.behaviour === "detach" && run.generatedTokens === detachedAfterEvents * tokensPerEvent) {
            this.detach(run);
        }
    }

    /** Breaks the connection of every second run, which goes on. */
    private detach(run: EngineRun): void {
        if (this.answerLoss.losesNext()) {
            run.record.isDetached = true;
            run.isSilent = true;
            run.refusesStop = true;
            run.observer.disconnected("reset");
        }
    }

    /** Reports the run with its first token. A run that resumes after a preemption isn't reported again. */
    private startStream({ observer, record, isSilent }: EngineRun): void {
        this.observeRun(record);
        if (!isSilent) {
            observer.opened();
        }
    }

    private preempt(): void {
        while (this.running.length > 1 && this.usedMemory() > this.options.memoryTokens) {
            const victim = this.running.reduce((lowest, run) =>
                run.call.priority >= lowest.call.priority ? run : lowest
            );
            this.running = this.running.filter(run => run !== victim);
            victim.remainingPrefill = usedTokens(victim);
            this.preemptions++;
            this.waiting.unshift(victim);
        }
    }

    private sendReplicas(): void {
        const { now } = this.clock;
        if (now - this.replicasSentAt < replicationInterval) {
            return;
        }
        this.replicasSentAt = now;
        for (const run of this.running) {
            const { replicaAddress, callerAttemptId } = run.call;
            if (replicaAddress !== undefined && run.remainingPrefill === 0) {
                const reference = { source: this.options.address, name: callerAttemptId };
                this.environment.findEngine(replicaAddress)?.storeReplica(reference, this.createReplica(run));
            }
        }
    }

    private createReplica(run: EngineRun): RunReplica {
        const { lineage } = run.record;
        return {
            lineage,
            tokens: usedTokens(run),
            generatedTokens: run.generatedTokens,
            expiresAt: this.clock.now + replicaLifetime,
        };
    }

    private deleteExpiredReplicas(): void {
        for (const [key, { expiresAt }] of this.replicas) {
            if (expiresAt <= this.clock.now) {
                this.replicas.delete(key);
            }
        }
    }

    /** Ends a run before its last token, and its connection as the engine's streams end. */
    private breakOff(run: EngineRun): void {
        if (!run.hasEnded) {
            this.end(run, false);
            run.observer.disconnected(this.isUnframed ? "closed" : "reset");
        }
    }

    private end(run: EngineRun, isComplete: boolean): void {
        if (run.hasEnded) {
            return;
        }
        run.hasEnded = true;
        run.record.endedAt = this.clock.now;
        run.record.isComplete = isComplete;
        this.running = this.running.filter(other => other !== run);
        this.waiting = this.waiting.filter(other => other !== run);
        const { replicaAddress, callerAttemptId } = run.call;
        if (isComplete && replicaAddress !== undefined) {
            this.environment.findEngine(replicaAddress)?.deleteReplica({
                source: this.options.address,
                name: callerAttemptId,
            });
        }
    }
}

function usedTokens({ call, generatedTokens }: EngineRun): number {
    return call.promptTokens + generatedTokens;
}

/** Sort key of waiting runs, lowest first: runs that continue from a replica start before all others. */
function startOrder({ call, record }: EngineRun): number {
    return record.continuesFromReplica ? -1 : call.priority;
}
