/**
 * Interface of the models of backend servers: a server runs or refuses calls and reports its runs.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Refers to a replica of a run's memory from which a call continues. */
export interface ReplicaReference {
    /** Address of the backend server whose run was replicated. */
    readonly source: string;
    readonly name: string;
}

/** A call as a backend server receives it. */
export interface ServerCall {
    readonly callerAttemptId: string;
    /** Id of the intended backend server; any other server refuses the call. */
    readonly target: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly timeLimit: Milliseconds;
    readonly promptTokens: number;
    /** The parts of the prompt that other requests may share. */
    readonly sharedParts: readonly string[];
    /** Length of the answer that the model generates. */
    readonly outputTokens: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Last event that the caller has received, 0 for none. */
    readonly lastEvent: number;
    /** Address of the engine to which this run's memory is replicated as it grows. */
    readonly replicaAddress: string | undefined;
    /** The replica to continue from. */
    readonly copy: ReplicaReference | undefined;
}

/** An event of a stream. */
export interface RunEvent {
    readonly id: number;
    /** Identifies the run; stays the same when the run continues at another engine from a replica. */
    readonly lineage: string;
    /** The software of the server that made the event. */
    readonly softwareVersion: string;
}

/** Encodes an event as servers send it. */
export function formatRunEvent({ id, lineage, softwareVersion }: RunEvent): string {
    return `id: ${id}\ndata: ${softwareVersion}:${lineage}\n\n`;
}

/** A complete answer of a plain service. */
export interface ServerAnswer {
    readonly status: number;
    /** Attempt that the answer names; the wrong one while the behaviour is `foreign`. */
    readonly callerAttemptId: string;
    readonly body: string;
}

/** Why a backend server refuses a call. */
export type RefusalReason = "full" | "not_the_target" | "no_copy" | "too_large";

/** Callbacks by which a backend server responds to a call. */
export interface CallObserver {
    /** The call is not run. */
    readonly refused: (reason: RefusalReason) => void;
    /** The response headers of a stream are sent. */
    readonly opened: () => void;
    readonly event: (event: RunEvent) => void;
    readonly ended: () => void;
    readonly answered: (answer: ServerAnswer) => void;
    /**
     * The connection ends before the answer does: it is reset, or closed in order, as at the end of a stream without framing.
     */
    readonly disconnected: (how: "reset" | "closed") => void;
}

/** A call that was sent to a backend server. */
export interface CallHandle {
    /** Tells the server that the caller's connection is closed. */
    readonly cancel: () => void;
}

/** A run as a test or an oracle sees it. */
export interface ServerRun {
    readonly server: string;
    readonly service: string;
    readonly callerAttemptId: string;
    readonly path: string;
    readonly body: string;
    readonly lineage: string;
    /** Whether the run continues from a replica instead of starting from the beginning. */
    readonly continuesFromReplica: boolean;
    readonly startedAt: Milliseconds;
    /** When the backend server stopped working on it. */
    endedAt: Milliseconds | undefined;
    isComplete: boolean;
    /** Whether it goes on though its connection was broken, until its server is asked to stop it. */
    isDetached?: boolean;
}

/** Is called with each run as it starts. */
export type RunObserver = (run: ServerRun) => void;

/** A run in a backend server's report. */
export interface RunReport {
    readonly callerAttemptId: string;
    readonly events: number;
}

/** How the migration of a run's memory ended. */
export type MigrationOutcome =
    | { readonly kind: "moved"; readonly handle: string; readonly events: number; }
    | { readonly kind: "no_run"; }
    | { readonly kind: "no_room"; }
    /** The run was not stopped. */
    | { readonly kind: "busy"; };

/**
 * How a backend server treats calls. `well` is normal, `shed` refuses all calls, `error` answers with status 500,
 * `break` breaks the connection, `silent` runs calls without responding, `foreign` names another attempt in its
 * answers, `slow` takes longer. Engines treat `error` and `foreign` as `well`.
 *
 * `lose` loses the answers of every second call, beginning with the first: the run begins, also where the call names a
 * replica that the server doesn't hold, and ends at once, and the connection is broken without an answer. Only calls
 * for another target and calls that are too large are refused. All other calls are treated as in `well`.
 *
 * An engine that `detach`es breaks the connection of every second stream in its midst, and works on: neither the end of a
 * connection nor the first request to stop such a run stops it. Other servers treat this as `well`.
 */
export type ServerBehaviour = "well" | "shed" | "error" | "break" | "silent" | "foreign" | "slow" | "lose" | "detach";

/** Identity of a backend server. */
export interface ServerOptions {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    /** The version of its software; "1" if absent. */
    readonly softwareVersion?: string;
}

/** Decides of which calls a server whose behaviour is `lose` loses the answer. */
export class AnswerLoss {
    private callCount = 0;

    /** Whether the answer of the next call is lost. */
    losesNext(): boolean {
        return this.callCount++ % callsPerLostAnswer === 0;
    }
}

/** One of so many calls loses its answer. */
const callsPerLostAnswer = 2;

/** The version of servers whose plan names none. */
export const defaultSoftwareVersion = "1";

/** Model of a backend server. */
export interface ServerModel {
    readonly options: ServerOptions;
    behaviour: ServerBehaviour;
    /** The limit that its answers declare, in requests a second. The model does not enforce it. */
    requestLimit: number | undefined;
    /** How long its refusals say that it wants no further request from a gateway; undefined if they don't. */
    pause: Milliseconds | undefined;
    /** Whether its answers say that it leaves. */
    isLeaving: boolean;
    readonly isEngine: boolean;
    /** Whether its streams have neither a length nor chunks, so that the end of the connection is their end. */
    readonly isUnframed: boolean;
    readonly slots: number;
    readonly start: (call: ServerCall, observer: CallObserver) => CallHandle;
    /** The runs in progress, as of now or of a short time ago. */
    readonly report: () => readonly RunReport[];
    /** Transfers a run's memory to the engine at an address, after stopping the run if `isStopping`. */
    readonly migrate: (
        callerAttemptId: string,
        target: string,
        isStopping: boolean,
        done: (outcome: MigrationOutcome) => void,
    ) => void;
    /** Stops at once: connections end, in order where streams are unframed, and replicas are lost. */
    readonly crash: () => void;
}
