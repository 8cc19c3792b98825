/**
 * A model engine: runs share its steps and its memory. Prompts are read in pieces between the tokens of the others; when
 * memory runs out, the newest of the least urgent runs is pushed aside and its tokens are read again. Copies of other
 * engines' runs hold memory too.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";
import type {
    CallHandle,
    CallObserver,
    MigrationOutcome,
    RefusalReason,
    ReplicaReference,
    RunObserver,
    RunReport,
    ServerBehaviour,
    ServerCall,
    ServerModel,
    ServerOptions,
    ServerRun,
} from "./serverModel.js";

/** What an engine has. */
export interface EngineOptions extends ServerOptions {
    readonly slots: number;
    readonly memoryTokens: number;
    readonly tokensPerEvent: number;
    /** A step that makes one token of each run. */
    readonly stepTime: Milliseconds;
    /** What each run adds to a step. */
    readonly stepTimePerRun: Milliseconds;
    /** Tokens of prompts that are read in a millisecond. */
    readonly prefillRate: number;
    /** Tokens of a run's memory that a link carries in a millisecond. */
    readonly transferRate: number;
}

interface EngineRun {
    readonly call: ServerCall;
    readonly observer: CallObserver;
    readonly record: ServerRun;
    /** Tokens of the output so far. */
    made: number;
    /** Tokens to read before the next token is made. */
    unread: number;
    isOver: boolean;
    /** Its channel has gone silent, which no later event mends. */
    isMuted: boolean;
}

interface RunCopyState {
    readonly lineage: string;
    readonly tokens: number;
    readonly made: number;
    readonly until: Milliseconds;
}

/** Finds the engine at an address. */
export type FindEngine = (address: string) => EngineServer | undefined;

/** Prompt tokens that one step reads at most. */
const readingPiece = 256;
/** Parts of a growing copy are sent at this interval. */
const copyInterval: Milliseconds = 200;
/** How long a copy is kept after its last part. */
const copyLifetime: Milliseconds = 3_000;
const slowFactor = 4;

/** A worker that is a model engine. */
export class EngineServer implements ServerModel {
    readonly isEngine = true;
    readonly slots: number;
    /** How often a run was pushed aside. */
    preemptions = 0;
    behaviour: ServerBehaviour = "well";
    private running: EngineRun[] = [];
    private waiting: EngineRun[] = [];
    private readonly copies = new Map<string, RunCopyState>();
    private copiedAt: Milliseconds = 0;
    private isStepping = false;
    private isDead = false;
    private moves = 0;
    private linkFreeAt: Milliseconds = 0;

    constructor(
        readonly options: EngineOptions,
        private readonly clock: Clock,
        private readonly watch: RunObserver,
        private readonly findEngine: FindEngine,
    ) {
        this.slots = options.slots;
    }

    start(call: ServerCall, observer: CallObserver): CallHandle {
        const refusal = this.refusalOf(call);
        const copy = refusal === undefined && call.copy !== undefined ? this.takeCopy(call.copy) : undefined;
        const lacksCopy = call.copy !== undefined && copy === undefined;
        if (refusal !== undefined || lacksCopy) {
            observer.refused(refusal ?? "no_copy");
            return { cancel: () => undefined };
        }
        const run = this.createRun(call, observer, copy);
        this.waiting.push(run);
        this.beginSteps();
        return { cancel: () => this.end(run, false) };
    }

    private refusalOf({ target, promptTokens, outputTokens }: ServerCall): RefusalReason | undefined {
        if (target !== undefined && target !== this.options.id) {
            return "not_the_target";
        }
        if (this.behaviour === "shed") {
            return "full";
        }
        return promptTokens + outputTokens > this.options.memoryTokens ? "too_large" : undefined;
    }

    report(): readonly RunReport[] {
        return this.runs().map(({ call, made }) => ({
            callerAttemptId: call.callerAttemptId,
            events: this.eventsIn(made),
        }));
    }

    /** Copies a run's memory to another engine while it goes on; moves follow each other on the link. */
    migrate(callerAttemptId: string, target: string, done: (outcome: MigrationOutcome) => void): void {
        const run = this.running.find(({ call }) => call.callerAttemptId === callerAttemptId);
        if (run === undefined || this.isDead) {
            return done({ kind: "no_run" });
        }
        const { now } = this.clock;
        this.linkFreeAt = Math.max(now, this.linkFreeAt) + heldTokens(run) / this.options.transferRate;
        const handle = `move-${this.options.id}-${++this.moves}`;
        this.clock.schedule(this.linkFreeAt - now, () => {
            if (this.isDead || run.isOver) {
                return done({ kind: "no_run" });
            }
            const copy = this.copyOf(run);
            const isKept =
                this.findEngine(target)?.keepCopy({ source: this.options.address, name: handle }, copy) === true;
            done(isKept ? { kind: "moved", handle, events: this.eventsIn(run.made) } : { kind: "no_room" });
        });
    }

    crash(): void {
        this.isDead = true;
        const open = this.runs();
        open.forEach(run => this.end(run, false));
        open.forEach(({ observer }) => observer.disconnected());
        this.copies.clear();
    }

    /** Keeps a copy of another engine's run. Returns whether there is room for it. */
    keepCopy({ source, name }: ReplicaReference, copy: RunCopyState): boolean {
        const key = `${source}/${name}`;
        const growth = copy.tokens - (this.copies.get(key)?.tokens ?? 0);
        if (this.isDead || this.heldMemory() + growth > this.options.memoryTokens) {
            return false;
        }
        this.copies.set(key, copy);
        return true;
    }

    /** Frees the copy of a run that ended. */
    dropCopy({ source, name }: ReplicaReference): void {
        this.copies.delete(`${source}/${name}`);
    }

    private takeCopy({ source, name }: ReplicaReference): RunCopyState | undefined {
        const key = `${source}/${name}`;
        const copy = this.copies.get(key);
        this.copies.delete(key);
        return copy !== undefined && copy.until > this.clock.now ? copy : undefined;
    }

    private createRun(call: ServerCall, observer: CallObserver, copy: RunCopyState | undefined): EngineRun {
        const { id, service, tokensPerEvent } = this.options;
        const made = call.lastEvent * tokensPerEvent;
        const unread = copy === undefined ? call.promptTokens + made : Math.max(1, made - copy.made);
        const record: ServerRun = {
            server: id,
            service,
            callerAttemptId: call.callerAttemptId,
            path: call.path,
            body: call.body,
            lineage: copy?.lineage ?? `${id}/${call.callerAttemptId}/${call.lastEvent}`,
            continuesFromReplica: copy !== undefined,
            startedAt: this.clock.now,
            endedAt: undefined,
            isComplete: false,
        };
        return { call, observer, record, made, unread, isOver: false, isMuted: false };
    }

    private runs(): EngineRun[] {
        return [...this.running, ...this.waiting];
    }

    private eventsIn(made: number): number {
        return Math.floor(made / this.options.tokensPerEvent);
    }

    private heldMemory(): number {
        const held = this.running.reduce((sum, run) => sum + heldTokens(run), 0);
        return held + [...this.copies.values()].reduce((sum, { tokens }) => sum + tokens, 0);
    }

    private beginSteps(): void {
        if (!this.isStepping && !this.isDead) {
            this.isStepping = true;
            this.step();
        }
    }

    private step(): void {
        this.dropOldCopies();
        this.admit();
        if (this.isDead || this.running.length === 0) {
            this.isStepping = false;
            return;
        }
        const { stepTime, stepTimePerRun, prefillRate: readingRate } = this.options;
        const decoding = this.running.filter(({ unread }) => unread === 0);
        const read = this.readPrompts();
        const factor = this.behaviour === "slow" ? slowFactor : 1;
        const duration = factor * (stepTime + stepTimePerRun * decoding.length + read / readingRate);
        this.clock.schedule(duration, () => {
            decoding.filter(run => this.running.includes(run)).forEach(run => this.makeToken(run));
            this.preempt();
            this.sendCopies();
            this.step();
        });
    }

    /** Starts waiting runs that fit, the most urgent first and those with a copy before all. */
    private admit(): void {
        this.waiting.sort((one, other) => urgency(one) - urgency(other));
        while (this.running.length < this.slots && this.waiting.length > 0) {
            const [next] = this.waiting;
            if (this.heldMemory() + heldTokens(next) > this.options.memoryTokens) {
                return;
            }
            this.waiting.shift();
            this.running.push(next);
        }
    }

    private readPrompts(): number {
        let left = readingPiece;
        for (const run of this.running) {
            const piece = Math.min(left, run.unread);
            run.unread -= piece;
            left -= piece;
        }
        return readingPiece - left;
    }

    private makeToken(run: EngineRun): void {
        const { call, observer, record } = run;
        const { tokensPerEvent } = this.options;
        run.isMuted ||= this.behaviour === "silent";
        if (run.made === call.lastEvent * tokensPerEvent) {
            this.open(run);
        }
        run.made++;
        const isLast = run.made >= call.outputTokens;
        if (!run.isMuted && (isLast || run.made % tokensPerEvent === 0)) {
            observer.event({ id: Math.ceil(run.made / tokensPerEvent), lineage: record.lineage });
        }
        if (isLast) {
            this.end(run, true);
            if (!run.isMuted) {
                observer.ended();
            }
        }
        else if (this.behaviour === "break") {
            this.end(run, false);
            observer.disconnected();
        }
    }

    /** A run begins with its first token; pushed aside and begun again it is still the same run. */
    private open({ observer, record, isMuted }: EngineRun): void {
        this.watch(record);
        if (!isMuted) {
            observer.opened();
        }
    }

    private preempt(): void {
        while (this.running.length > 1 && this.heldMemory() > this.options.memoryTokens) {
            const victim = this.running.reduce((worst, run) => run.call.priority >= worst.call.priority ? run : worst);
            this.running = this.running.filter(run => run !== victim);
            victim.unread = heldTokens(victim);
            this.preemptions++;
            this.waiting.unshift(victim);
        }
    }

    private sendCopies(): void {
        const { now } = this.clock;
        if (now - this.copiedAt < copyInterval) {
            return;
        }
        this.copiedAt = now;
        for (const run of this.running) {
            const { replicaAddress, callerAttemptId } = run.call;
            if (replicaAddress !== undefined && run.unread === 0) {
                const name = { source: this.options.address, name: callerAttemptId };
                this.findEngine(replicaAddress)?.keepCopy(name, this.copyOf(run));
            }
        }
    }

    private copyOf(run: EngineRun): RunCopyState {
        const { lineage } = run.record;
        return { lineage, tokens: heldTokens(run), made: run.made, until: this.clock.now + copyLifetime };
    }

    private dropOldCopies(): void {
        for (const [key, { until }] of this.copies) {
            if (until <= this.clock.now) {
                this.copies.delete(key);
            }
        }
    }

    private end(run: EngineRun, isComplete: boolean): void {
        if (run.isOver) {
            return;
        }
        run.isOver = true;
        run.record.endedAt = this.clock.now;
        run.record.isComplete = isComplete;
        this.running = this.running.filter(other => other !== run);
        this.waiting = this.waiting.filter(other => other !== run);
        const { replicaAddress, callerAttemptId } = run.call;
        if (isComplete && replicaAddress !== undefined) {
            this.findEngine(replicaAddress)?.dropCopy({ source: this.options.address, name: callerAttemptId });
        }
    }
}

function heldTokens({ call, made }: EngineRun): number {
    return call.promptTokens + made;
}

/** Lower starts first; runs that go on from a copy start before all others. */
function urgency({ call, record }: EngineRun): number {
    return record.continuesFromReplica ? -1 : call.priority;
}
