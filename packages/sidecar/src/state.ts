/**
 * A sidecar's state. Only the reducer changes it, in place.
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
    /**
     * The limit on tokens kept over all generations. Beyond it, ended ones without a reader are forgotten, the earliest
     * started first.
     */
    readonly keptTokens: number;
    /** The reader's window: how many tokens may be sent beyond those acknowledged. */
    readonly unacknowledgedTokens: number;
    readonly heartbeatInterval: Milliseconds;
    readonly silenceTimeout: Milliseconds;
    /** How long a running generation continues without a reader. */
    readonly detachedWindow: Milliseconds;
    /** How long an ended generation is kept for a caller that resumes it. */
    readonly resumeWindow: Milliseconds;
    /** How long a planned stop waits for attempts to end; 0 for no limit. */
    readonly stopTimeout: Milliseconds;
}

/** One attempt of an entry, kept until the entry has acknowledged its end or cancelled it, or is gone. */
export interface SidecarAttempt {
    readonly id: AttemptId;
    readonly entry: EntryIncarnation;
    /** The link over which the entry last sent a message about the attempt. */
    linkNumber: number;
    /** A `withdrawn` attempt is a tombstone: it has not run and never will. */
    phase: "queued" | "started" | "withdrawn";
    readonly work: Work | undefined;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
    /** Set once started. */
    generationId: GenerationId | undefined;
    /** The message that a tombstone is answered with. */
    notRun: NotRun | undefined;
    queuedSentAt: Milliseconds;
}

/** The attempt that reads a generation, and its position. */
export interface Reader {
    readonly entry: EntryIncarnation;
    readonly attemptId: AttemptId;
    sentTokens: number;
    acknowledgedTokens: number;
    /** When the final message of the answer was sent; undefined before. */
    conclusionSentAt: Milliseconds | undefined;
}

/** One run at the backend server, with its answer so far. */
export interface Generation {
    readonly id: GenerationId;
    /** True for a call of a plain service, which can't be cancelled and is answered with one response. */
    readonly isPlain: boolean;
    readonly work: Work;
    readonly organisation: OrganisationId;
    readonly startedAt: Milliseconds;
    readonly texts: string[];
    end: { readonly count: number; readonly finishReason: string; } | undefined;
    response: { readonly status: number; readonly contentType: string; readonly body: string; } | undefined;
    failure: { readonly type: FailureType; readonly outcome: RunOutcome; } | undefined;
    reader: Reader | undefined;
    /** Since when the generation has had no reader; undefined while it has one. */
    detachedAt: Milliseconds | undefined;
    endedAt: Milliseconds | undefined;
    /** Resumes of the engine's stream since the last new token. */
    resumeCount: number;
    /** When to resume a broken stream. */
    resumeAt: Milliseconds | undefined;
}

/** Everything that a sidecar knows. */
export interface SidecarState {
    readonly options: SidecarOptions;
    readonly links: Map<EntryIncarnation, EntryLinkRecord>;
    readonly attempts: Map<AttemptId, SidecarAttempt>;
    readonly generations: Map<GenerationId, Generation>;
    /** Ids of queued attempts, in order of arrival. */
    readonly queue: Set<AttemptId>;
    /** Ids of the generations that are running at the backend server. */
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
    /** The recent mean duration of a generation, by work kind. */
    readonly meanDurations: Record<WorkKind, Milliseconds>;
}

const maxForecastPools = 2_048;
const initialMeanDuration: Milliseconds = 500;

/**
 * Creates the state of a sidecar that has just started.
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
        forecast: createLengthForecast(maxForecastPools),
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

/** The service that this sidecar's backend server belongs to; undefined until an entry has sent it. */
export function findOwnService(state: SidecarState): ServiceDocument | undefined {
    return findDocument(state.configuration, "service", state.options.service);
}

/** Whether the backend server takes no new work, because of a stop, an operator's instruction or the instance list. */
export function isLeaving(state: SidecarState): boolean {
    return state.stopRequestedAt !== undefined
        || state.isListedLeaving
        || findDocument(state.configuration, "drain", state.options.backendServer) !== undefined
        || isEvacuated(state);
}

/** Whether the failure domain is evacuated. Entries send a sidecar no evacuation of other failure domains. */
function isEvacuated({ configuration }: SidecarState): boolean {
    return [...configuration.documents.values()].some(({ kind, document }) =>
        kind === "evacuation" && document !== undefined
    );
}
