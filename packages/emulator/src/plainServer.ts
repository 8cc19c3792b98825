/**
 * A plain service: calls take a slot each, a few wait, the others are refused.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import type {
    CallHandle,
    CallObserver,
    MigrationOutcome,
    RunObserver,
    RunReport,
    ServerBehaviour,
    ServerCall,
    ServerModel,
    ServerOptions,
    ServerRun,
} from "./serverModel.js";

/** What a plain service has. */
export interface PlainOptions extends ServerOptions {
    readonly slots: number;
    /** How long a call takes. */
    readonly workTime: Milliseconds;
}

interface PlainCall {
    readonly call: ServerCall;
    readonly observer: CallObserver;
    run: ServerRun | undefined;
    isOver: boolean;
}

/** Calls that wait, as a multiple of the slots. */
const queueFactor = 2;
const slowFactor = 8;
const serverError = 500;
const success = 200;

/** A worker of a plain service. */
export class PlainServer implements ServerModel {
    readonly isEngine = false;
    readonly slots: number;
    behaviour: ServerBehaviour = "well";
    private readonly running = new Set<PlainCall>();
    private queue: PlainCall[] = [];
    private isDead = false;

    constructor(
        readonly options: PlainOptions,
        private readonly clock: Clock,
        private readonly watch: RunObserver,
    ) {
        this.slots = options.slots;
    }

    start(call: ServerCall, observer: CallObserver): CallHandle {
        const taken: PlainCall = { call, observer, run: undefined, isOver: false };
        if (call.target !== undefined && call.target !== this.options.id) {
            observer.refused("not_the_target");
        }
        else if (this.behaviour === "shed" || this.queue.length >= queueFactor * this.slots) {
            observer.refused("full");
        }
        else {
            this.queue.push(taken);
            this.startNext();
        }
        return { cancel: () => this.end(taken, false) };
    }

    report(): readonly RunReport[] {
        return [...this.running].map(({ call }) => ({ callerAttemptId: call.callerAttemptId, events: 0 }));
    }

    migrate(_callerAttemptId: string, _target: string, done: (outcome: MigrationOutcome) => void): void {
        done({ kind: "no_run" });
    }

    crash(): void {
        this.isDead = true;
        const open = [...this.running, ...this.queue];
        open.forEach(taken => this.end(taken, false));
        open.forEach(({ observer }) => observer.disconnected());
    }

    private startNext(): void {
        while (!this.isDead && this.running.size < this.slots && this.queue.length > 0) {
            this.run(this.queue.shift()!);
        }
    }

    private run(taken: PlainCall): void {
        const { call } = taken;
        const { id, service } = this.options;
        taken.run = {
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
        this.running.add(taken);
        this.watch(taken.run);
        const factor = this.behaviour === "slow" ? slowFactor : 1;
        this.clock.schedule(factor * this.options.workTime, () => this.finish(taken));
    }

    private finish(taken: PlainCall): void {
        const { call, observer, run } = taken;
        if (taken.isOver || run === undefined) {
            return;
        }
        this.end(taken, true);
        switch (this.behaviour) {
            case "silent":
                return;
            case "break":
                return observer.disconnected();
            default: {
                const status = this.behaviour === "error" ? serverError : success;
                const callerAttemptId = this.behaviour === "foreign"
                    ? `not-${call.callerAttemptId}`
                    : call.callerAttemptId;
                return observer.answered({ status, callerAttemptId, body: `answer to ${callerAttemptId}` });
            }
        }
    }

    private end(taken: PlainCall, isComplete: boolean): void {
        if (taken.isOver) {
            return;
        }
        taken.isOver = true;
        this.queue = this.queue.filter(other => other !== taken);
        this.running.delete(taken);
        if (taken.run !== undefined) {
            taken.run.endedAt = this.clock.now;
            taken.run.isComplete = isComplete;
        }
        this.startNext();
    }
}
