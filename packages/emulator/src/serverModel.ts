/**
 * What every worker does: it takes calls, runs or refuses them, and reports its runs.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** A copy of a run's memory that a call goes on from. */
export interface ReplicaReference {
    /** The address of the worker that was copied from. */
    readonly source: string;
    readonly name: string;
}

/** A call as a worker sees it. */
export interface ServerCall {
    readonly callerAttemptId: string;
    /** The worker that is meant; any other refuses. */
    readonly target: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly timeLimit: Milliseconds;
    readonly promptTokens: number;
    /** Tokens that the answer will have. */
    readonly outputTokens: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The last event that the caller has; 0 where it has none. */
    readonly lastEvent: number;
    /** Where the run's memory is copied to as it grows. */
    readonly replicaAddress: string | undefined;
    readonly copy: ReplicaReference | undefined;
}

/** A piece of a stream. */
export interface RunEvent {
    readonly id: number;
    /** Names the run, also where it went on at another worker from a copy. */
    readonly lineage: string;
}

/** A whole answer of a plain service. */
export interface ServerAnswer {
    readonly status: number;
    /** The attempt that the answer names, which a faulty worker may mix up. */
    readonly callerAttemptId: string;
    readonly body: string;
}

/** Why a worker does not run a call. */
export type RefusalReason = "full" | "not_the_target" | "no_copy" | "too_large";

/** What a worker does with a call. */
export interface CallObserver {
    /** The worker does not run the call. */
    readonly refused: (reason: RefusalReason) => void;
    /** A stream begins. */
    readonly opened: () => void;
    readonly event: (event: RunEvent) => void;
    readonly ended: () => void;
    readonly answered: (answer: ServerAnswer) => void;
    /** The channel breaks off. */
    readonly disconnected: () => void;
}

/** A call that a worker took. */
export interface CallHandle {
    /** The caller's channel is gone. */
    readonly cancel: () => void;
}

/** One run, as a test or an oracle sees it. */
export interface ServerRun {
    readonly server: string;
    readonly service: string;
    readonly callerAttemptId: string;
    readonly path: string;
    readonly body: string;
    readonly lineage: string;
    /** Whether the run goes on from a copy rather than from the start. */
    readonly continuesFromReplica: boolean;
    readonly startedAt: Milliseconds;
    /** When the worker stopped to work on it. */
    endedAt: Milliseconds | undefined;
    isComplete: boolean;
}

/** Hears of runs as they begin. */
export type RunObserver = (run: ServerRun) => void;

/** A run in a worker's report. */
export interface RunReport {
    readonly callerAttemptId: string;
    readonly events: number;
}

/** How a move of a run's memory ended. */
export type MigrationOutcome =
    | { readonly kind: "moved"; readonly handle: string; readonly events: number; }
    | { readonly kind: "no_run"; }
    | { readonly kind: "no_room"; };

/** How a worker treats calls: `foreign` answers name another attempt; `silent` ones never come. */
export type ServerBehaviour = "well" | "shed" | "error" | "break" | "silent" | "foreign" | "slow";

/** What a worker is. */
export interface ServerOptions {
    readonly id: string;
    readonly service: string;
    readonly address: string;
}

/** A worker. */
export interface ServerModel {
    readonly options: ServerOptions;
    behaviour: ServerBehaviour;
    readonly isEngine: boolean;
    readonly slots: number;
    readonly start: (call: ServerCall, observer: CallObserver) => CallHandle;
    /** The runs at work now. */
    readonly report: () => readonly RunReport[];
    readonly migrate: (callerAttemptId: string, target: string, done: (outcome: MigrationOutcome) => void) => void;
    /** Ends at once: channels break off, copies are gone. */
    readonly crash: () => void;
}
