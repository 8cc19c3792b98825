/**
 * Model of a plain service: each call occupies a slot, a limited number of calls is queued, and the rest is refused.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import {
    AnswerLoss,
    type CallHandle,
    type CallObserver,
    type MigrationOutcome,
    type RunObserver,
    type RunReport,
    type ServerBehaviour,
    type ServerCall,
    type ServerModel,
    type ServerOptions,
    type ServerRun,
} from "./serverModel.js";

/** Capacity and speed of a plain service. */
export interface PlainOptions extends ServerOptions {
    readonly slots: number;
    /** Duration of a call. */
    readonly workTime: Milliseconds;
}

interface PendingCall {
    readonly call: ServerCall;
    readonly observer: CallObserver;
    run: ServerRun | undefined;
    hasEnded: boolean;
}

/** Maximum number of queued calls for each slot. */
const queuedCallsPerSlot = 2;
/** How many times as long a call takes while the behaviour is `slow`. */
const slowdownFactor = 8;
const serverErrorStatus = 500;
const okStatus = 200;

/** Model of a backend server of a plain service. */
export class PlainServer implements ServerModel {
    readonly isEngine = false;
    readonly isUnframed = false;
    readonly slots: number;
    behaviour: ServerBehaviour = "well";
    requestLimit: number | undefined = undefined;
    pause: Milliseconds | undefined = undefined;
    isLeaving = false;
    private readonly running = new Set<PendingCall>();
    private queue: PendingCall[] = [];
    private isStopped = false;
    private readonly answerLoss = new AnswerLoss();

    constructor(
        readonly options: PlainOptions,
        private readonly clock: Clock,
        private readonly observeRun: RunObserver,
        /** Crashes the server if it must not survive the call, and returns whether it did. */
        private readonly crashUnder: (call: ServerCall) => boolean = () => false,
    ) {
        this.slots = options.slots;
    }

    start(call: ServerCall, observer: CallObserver): CallHandle {
        const pending: PendingCall = { call, observer, run: undefined, hasEnded: false };
        if (call.target !== undefined && call.target !== this.options.id) {
            observer.refused("not_the_target");
        }
        else if (this.behaviour === "lose" && !this.isStopped && this.answerLoss.losesNext()) {
            this.runWithoutAnswer(pending);
        }
        else if (this.behaviour === "shed" || this.queue.length >= queuedCallsPerSlot * this.slots) {
            observer.refused("full");
        }
        else {
            this.queue.push(pending);
            this.startQueued();
        }
        return { cancel: () => this.end(pending, false) };
    }

    report(): readonly RunReport[] {
        return [...this.running].map(({ call }) => ({ callerAttemptId: call.callerAttemptId, events: 0 }));
    }

    migrate(
        _callerAttemptId: string,
        _target: string,
        _isStopping: boolean,
        done: (outcome: MigrationOutcome) => void,
    ): void {
        done({ kind: "no_run" });
    }

    crash(): void {
        this.isStopped = true;
        const open = [...this.running, ...this.queue];
        open.forEach(pending => this.end(pending, false));
        open.forEach(({ observer }) => observer.disconnected("reset"));
    }

    private startQueued(): void {
        while (!this.isStopped && this.running.size < this.slots && this.queue.length > 0) {
            this.run(this.queue.shift()!);
        }
    }

    private run(pending: PendingCall): void {
        const { call } = pending;
        const { id, service } = this.options;
        pending.run = {
            server: id,
            service,
            callerAttemptId: call.callerAttemptId,
            path: call.path,
            body: call.body,
            lineage: `${id}/${call.callerAttemptId}`,
            continuesFromReplica: false,
            startedAt: this.clock.now,
            endedAt: undefined,
            isComplete: false,
        };
        this.running.add(pending);
        this.observeRun(pending.run);
        if (this.crashUnder(call)) {
            return;
        }
        const factor = this.behaviour === "slow" ? slowdownFactor : 1;
        this.clock.schedule(factor * this.options.workTime, () => this.finish(pending));
    }

    /** Begins a call at once, whether or not a slot is free, and ends it without an answer. */
    private runWithoutAnswer(pending: PendingCall): void {
        this.run(pending);
        if (!pending.hasEnded) {
            this.end(pending, false);
            pending.observer.disconnected("reset");
        }
    }

    private finish(pending: PendingCall): void {
        const { call, observer, run } = pending;
        if (pending.hasEnded || run === undefined) {
            return;
        }
        this.end(pending, true);
        switch (this.behaviour) {
            case "silent":
                return;
            case "break":
                return observer.disconnected("reset");
            default: {
                const status = this.behaviour === "error" ? serverErrorStatus : okStatus;
                const callerAttemptId = this.behaviour === "foreign"
                    ? `not-${call.callerAttemptId}`
                    : call.callerAttemptId;
                return observer.answered({ status, callerAttemptId, body: `answer to ${callerAttemptId}` });
            }
        }
    }

    private end(pending: PendingCall, isComplete: boolean): void {
        if (pending.hasEnded) {
            return;
        }
        pending.hasEnded = true;
        this.queue = this.queue.filter(other => other !== pending);
        this.running.delete(pending);
        if (pending.run !== undefined) {
            pending.run.endedAt = this.clock.now;
            pending.run.isComplete = isComplete;
        }
        this.startQueued();
    }
}
