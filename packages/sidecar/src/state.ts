/**
 * A sidecar's state. The loop alone owns it; the reducer changes it in place.
 */
import {
    type ConfigurationState,
    createLengthForecast,
    emptyConfiguration,
    type EntryLinkRecord,
    findDocument,
    type LengthForecast,
    type NotRun,
    type Work,
} from "@verbenaspring/coordination";
import type {
    AttemptId,
    BackendServerId,
    EntryIncarnation,
    FailureType,
    GenerationId,
    Milliseconds,
    OrganisationId,
    RunOutcome,
    ServiceDocument,
    ServiceName,
    SidecarIncarnation,
} from "@verbenaspring/model";

type WorkKind = Work["workKind"];

/** Limits and timings of one sidecar. Durations are in milliseconds. */
export interface SidecarOptions {
    readonly incarnation: SidecarIncarnation;
    readonly backendServer: BackendServerId;
    readonly service: ServiceName;
    readonly memoryTokens: number;
    readonly maximumOutputTokens: number;
    readonly maximumQueue: number;
    /** Tokens kept over all generations; the longest ended go first. */
    readonly keptTokens: number;
    /** Tokens sent to a reader beyond what it acknowledged. */
    readonly unacknowledgedTokens: number;
    readonly heartbeatInterval: Milliseconds;
    readonly silenceTimeout: Milliseconds;
    /** How long a running generation goes on without a reader. */
    readonly detachedWindow: Milliseconds;
    /** How long an ended generation is kept for a caller that comes back. */
    readonly resumeWindow: Milliseconds;
    /** How long a planned stop waits; 0 for as long as it takes. */
    readonly stopTimeout: Milliseconds;
}

/** One attempt that an entry has asked about and not yet settled. */
export interface SidecarAttempt {
    readonly id: AttemptId;
    readonly entry: EntryIncarnation;
    /** The link over which the attempt was last asked about. */
    linkNumber: number;
    /** `withdrawn` is a tombstone: the attempt has not run and never will. */
    phase: "queued" | "started" | "withdrawn";
    readonly work: Work | undefined;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
    /** Set once started. */
    generationId: GenerationId | undefined;
    /** The answer that a tombstone repeats. */
    notRun: NotRun | undefined;
    queuedSentAt: Milliseconds;
}

/** Who reads a generation, and how far. */
export interface Reader {
    readonly entry: EntryIncarnation;
    readonly attemptId: AttemptId;
    sentTokens: number;
    acknowledgedTokens: number;
    /** When the answer's conclusion was sent; undefined before. */
    conclusionSentAt: Milliseconds | undefined;
}

/** One run at the backend server, with its answer so far. */
export interface Generation {
    readonly id: GenerationId;
    /** True for a call of a plain service, which can't be stopped and whose answer is one response. */
    readonly isPlain: boolean;
    readonly work: Work;
    readonly organisation: OrganisationId;
    readonly startedAt: Milliseconds;
    readonly texts: string[];
    end: { readonly count: number; readonly finishReason: string; } | undefined;
    response: { readonly status: number; readonly contentType: string; readonly body: string; } | undefined;
    failure: { readonly type: FailureType; readonly outcome: RunOutcome; } | undefined;
    reader: Reader | undefined;
    /** Since when nobody reads; undefined while somebody does. */
    detachedAt: Milliseconds | undefined;
    endedAt: Milliseconds | undefined;
    resumeCount: number;
    resumeAt: Milliseconds | undefined;
}

/** The whole state. */
export interface SidecarState {
    readonly options: SidecarOptions;
    readonly links: Map<EntryIncarnation, EntryLinkRecord>;
    readonly attempts: Map<AttemptId, SidecarAttempt>;
    readonly generations: Map<GenerationId, Generation>;
    /** Ids of queued attempts, in order of arrival. */
    readonly queue: Set<AttemptId>;
    /** Ids of generations that the backend server works on. */
    readonly running: Set<GenerationId>;
    readonly forecast: LengthForecast;
    configuration: Pick<ConfigurationState, "documents" | "through">;
    isListedLeaving: boolean;
    isBackendReachable: boolean;
    stopRequestedAt: Milliseconds | undefined;
    announcedLeaving: boolean;
    hasExited: boolean;
    keptTokens: number;
    preemptions: number;
    /** How long a generation of each kind takes, lately. */
    readonly meanDurations: Record<WorkKind, Milliseconds>;
}

const mostForecastPools = 2_048;
const initialMeanDuration: Milliseconds = 500;

/**
 * The state of a sidecar that has just started.
 *
 * @example
 * const state = createSidecarState(options);
 */
export function createSidecarState(options: SidecarOptions): SidecarState {
    return {
        options,
        links: new Map(),
        attempts: new Map(),
        generations: new Map(),
        queue: new Set(),
        running: new Set(),
        forecast: createLengthForecast(mostForecastPools),
        configuration: emptyConfiguration,
        isListedLeaving: false,
        isBackendReachable: true,
        stopRequestedAt: undefined,
        announcedLeaving: false,
        hasExited: false,
        keptTokens: 0,
        preemptions: 0,
        meanDurations: { short: initialMeanDuration, long: initialMeanDuration },
    };
}

/** The service that this sidecar's backend server belongs to, once an entry has told. */
export function findOwnService(state: SidecarState): ServiceDocument | undefined {
    return findDocument(state.configuration, "service", state.options.service);
}

/** True where the backend server takes no new work: a stop, an operator's drain or the platform's list says so. */
export function isLeaving(state: SidecarState): boolean {
    return state.stopRequestedAt !== undefined
        || state.isListedLeaving
        || findDocument(state.configuration, "drain", state.options.backendServer) !== undefined;
}
