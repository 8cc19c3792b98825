/**
 * The messages between an entry and a sidecar. All times are durations, since the two ends share no clock.
 */
import type {
    AttemptId,
    BackendServerId,
    ConfigurationSnapshot,
    EntryIncarnation,
    FailureType,
    GenerationId,
    LogOffset,
    Milliseconds,
    OrganisationId,
    RunOutcome,
    ServiceName,
    SidecarIncarnation,
} from "@verbenaspring/model";

/** The work of one attempt, as sent by the entry to a sidecar. */
export interface Work {
    readonly organisation: OrganisationId;
    readonly service: ServiceName;
    readonly workKind: "short" | "long";
    readonly idempotent: boolean;
    /** Weight of the organisation relative to the others in a queue. */
    readonly weight: number;
    readonly promptTokens: number;
    /** Maximum length of the output in tokens, set by the caller; the actual length is unknown. */
    readonly maximumTokens: number;
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
    readonly body: string;
    readonly traceparent: string;
}

/** Opens link `linkNumber`; all lower numbers of the same entry are superseded permanently. */
export interface Hello {
    readonly kind: "hello";
    readonly entryIncarnation: EntryIncarnation;
    readonly linkNumber: number;
    /** The intended backend server; the sidecar of another one refuses the link. */
    readonly backendServer: BackendServerId;
}

/** Requests that an attempt be run or, if the sidecar already knows the attempt, its tokens from index `from` on. */
export interface Run extends Work {
    readonly kind: "run";
    readonly attemptId: AttemptId;
    /** The sidecar incarnation that the attempt is intended for; any other ignores the message. */
    readonly sidecarIncarnation: SidecarIncarnation;
    /** Milliseconds until the caller's deadline. */
    readonly timeLeft: Milliseconds;
    readonly from: number;
    /** Whether the same run may already have been sent over an earlier link. */
    readonly resent: boolean;
}

/** Requests that an attempt never be started. Answered by `NotRun`, or by `Started` if it is too late. */
export interface Withdraw {
    readonly kind: "withdraw";
    readonly attemptId: AttemptId;
}

/** Reports that the entry no longer needs the attempt. */
export interface Cancel {
    readonly kind: "cancel";
    readonly attemptId: AttemptId;
    /**
     * After `caller_left` the caller may still resume its answer; the answer of an `abandoned` attempt is not needed.
     */
    readonly reason: "caller_left" | "abandoned";
}

/**
 * Acknowledges that every token below `next` has been delivered to the caller; a plain response counts as one token.
 * When it covers the end of the output, or answers `NotRun` or `Failed`, the attempt is complete and the sidecar
 * discards it.
 */
export interface Acknowledge {
    readonly kind: "acknowledge";
    readonly attemptId: AttemptId;
    readonly next: number;
}

/** Attaches a new attempt to a generation that another entry may have been reading. */
export interface Resume {
    readonly kind: "resume";
    readonly attemptId: AttemptId;
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly generationId: GenerationId;
    readonly organisation: OrganisationId;
    readonly from: number;
}

/** Carries the part of the configuration that concerns this sidecar. */
export interface ConfigurationMessage {
    readonly kind: "configuration";
    readonly snapshot: ConfigurationSnapshot;
}

/** Shows that the link is alive while there is nothing else to send. */
export interface Heartbeat {
    readonly kind: "heartbeat";
}

/** Answers `Hello`. */
export interface Welcome {
    readonly kind: "welcome";
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly linkNumber: number;
    readonly leaving: boolean;
    readonly configurationOffset: LogOffset;
}

/** The reason for which an attempt waits. */
export type WaitReason =
    | "engine_memory"
    | "queue"
    | "concurrency"
    | "no_backend_server"
    | "link_silent"
    | "claim"
    | "generating";

/** Reports that the attempt waits at the sidecar. */
export interface Queued {
    readonly kind: "queued";
    readonly attemptId: AttemptId;
    readonly reason: WaitReason;
    /** Number of attempts queued before this one. */
    readonly ahead: number;
    /** Forecast remaining wait. */
    readonly expected: Milliseconds;
}

/** Reports that the attempt has been sent to the backend server. */
export interface Started {
    readonly kind: "started";
    readonly attemptId: AttemptId;
    readonly generationId: GenerationId;
}

/** Reports that the attempt has not run and never will. */
export interface NotRun {
    readonly kind: "notRun";
    readonly attemptId: AttemptId;
    readonly failureType: FailureType;
    readonly retryAfter: Milliseconds;
}

/** Carries consecutive tokens of one generation, starting at index `from`. */
export interface Tokens {
    readonly kind: "tokens";
    readonly attemptId: AttemptId;
    readonly generationId: GenerationId;
    readonly from: number;
    readonly texts: readonly string[];
}

/** Reports that the generation is complete and has `count` tokens. */
export interface End {
    readonly kind: "end";
    readonly attemptId: AttemptId;
    readonly count: number;
    readonly finishReason: string;
}

/** Reports that the attempt was started but its answer can't be obtained. */
export interface Failed {
    readonly kind: "failed";
    readonly attemptId: AttemptId;
    readonly failureType: FailureType;
    readonly outcome: RunOutcome;
}

/** Carries the complete answer of a plain service. */
export interface Response {
    readonly kind: "response";
    readonly attemptId: AttemptId;
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** The load report of a sidecar, sent with each heartbeat. */
export interface Load {
    readonly kind: "load";
    readonly leaving: boolean;
    readonly configurationOffset: LogOffset;
    readonly freeTokens: number;
    readonly queueLength: number;
    readonly expectedWait: Milliseconds;
    readonly preemptions: number;
}

/** Messages from an entry to a sidecar. */
export type EntryMessage = Hello | Run | Withdraw | Cancel | Acknowledge | Resume | ConfigurationMessage | Heartbeat;
/** Messages from a sidecar to an entry. */
export type SidecarMessage = Welcome | Queued | Started | NotRun | Tokens | End | Failed | Response | Load | Heartbeat;
