/**
 * The messages of a link between an entry and a sidecar. All times are durations, since the two ends share no clock.
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

/** The work of one attempt, as the entry hands it to a sidecar. */
export interface Work {
    readonly organisation: OrganisationId;
    readonly service: ServiceName;
    readonly workKind: "short" | "long";
    readonly idempotent: boolean;
    /** The organisation's weight in a crowded queue. */
    readonly weight: number;
    readonly promptTokens: number;
    /** The caller's bound on the output, in tokens; the true length is unknown. */
    readonly maximumTokens: number;
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
    readonly body: string;
    readonly traceparent: string;
}

/** Opens link `linkNumber`; every lower number of the same entry is superseded for good. */
export interface Hello {
    readonly kind: "hello";
    readonly entryIncarnation: EntryIncarnation;
    readonly linkNumber: number;
    /** Whom the entry means to reach; a sidecar of another backend server refuses the link. */
    readonly backendServer: BackendServerId;
}

/** Asks for an attempt to run, or, where the sidecar knows the attempt, for its tokens from `from` on. */
export interface Run extends Work {
    readonly kind: "run";
    readonly attemptId: AttemptId;
    /** The sidecar life that this attempt is meant for; any other refuses it. */
    readonly sidecarIncarnation: SidecarIncarnation;
    /** Milliseconds until the caller's deadline. */
    readonly timeLeft: Milliseconds;
    readonly from: number;
    /** True where an earlier link may have carried this run already. */
    readonly resent: boolean;
}

/** Asks that an attempt never start. The answer is `NotRun`, or `Started` where it is too late. */
export interface Withdraw {
    readonly kind: "withdraw";
    readonly attemptId: AttemptId;
}

/** The entry needs the attempt no more. */
export interface Cancel {
    readonly kind: "cancel";
    readonly attemptId: AttemptId;
    /** A caller that left may come back for its answer; an abandoned attempt's answer is of no more use. */
    readonly reason: "caller_left" | "abandoned";
}

/**
 * Every token below `next` has been handed to the caller; a plain response counts as one token. Once it covers the
 * end, or answers `NotRun` or `Failed`, the attempt is settled and the sidecar forgets it.
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

/** The part of the configuration that concerns this sidecar. */
export interface ConfigurationMessage {
    readonly kind: "configuration";
    readonly snapshot: ConfigurationSnapshot;
}

/** Shows that the link is alive while nothing else is to be said. */
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

/** Why an attempt waits. */
export type WaitReason =
    | "engine_memory"
    | "queue"
    | "concurrency"
    | "no_backend_server"
    | "link_silent"
    | "claim"
    | "generating";

/** The attempt waits at the sidecar. */
export interface Queued {
    readonly kind: "queued";
    readonly attemptId: AttemptId;
    readonly reason: WaitReason;
    /** Attempts before this one. */
    readonly ahead: number;
    /** Forecast of the remaining wait. */
    readonly expected: Milliseconds;
}

/** The attempt has been handed to the backend server. */
export interface Started {
    readonly kind: "started";
    readonly attemptId: AttemptId;
    readonly generationId: GenerationId;
}

/** The attempt has not run and never will. */
export interface NotRun {
    readonly kind: "notRun";
    readonly attemptId: AttemptId;
    readonly failureType: FailureType;
    readonly retryAfter: Milliseconds;
}

/** A run of tokens of one generation. */
export interface Tokens {
    readonly kind: "tokens";
    readonly attemptId: AttemptId;
    readonly generationId: GenerationId;
    readonly from: number;
    readonly texts: readonly string[];
}

/** The generation is complete and has `count` tokens. */
export interface End {
    readonly kind: "end";
    readonly attemptId: AttemptId;
    readonly count: number;
    readonly finishReason: string;
}

/** The attempt started, and its answer can't be had. */
export interface Failed {
    readonly kind: "failed";
    readonly attemptId: AttemptId;
    readonly failureType: FailureType;
    readonly outcome: RunOutcome;
}

/** The whole answer of a plain service. */
export interface Response {
    readonly kind: "response";
    readonly attemptId: AttemptId;
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** What the sidecar says of itself, with each heartbeat. */
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
