/**
 * What callers and backend servers say, decoded. Header lists are flat (name, value, name, value) and hold only what is
 * passed on unchanged.
 */
import type {
    ApiKey,
    AttemptId,
    BackendServerId,
    CallerAttemptId,
    Milliseconds,
    OrganisationId,
} from "@verbenaspring/model";

/** Names and values in turn. */
export type HeaderList = readonly string[];

/** A caller's request without its body. */
export interface RequestHead {
    readonly callerAttemptId: CallerAttemptId;
    readonly method: string;
    /** The path with its query, as the caller wrote it. */
    readonly target: string;
    /** In lower case, without a port. */
    readonly host: string;
    /** How long the caller waits. */
    readonly timeLimit: Milliseconds | undefined;
    readonly apiKey: ApiKey | undefined;
    /** The last event that the caller has of an earlier answer to this request. */
    readonly lastEvent: number | undefined;
    /** Tokens of the prompt; 0 where the request names none. */
    readonly promptTokens: number;
    /** The most tokens of the output; 0 where the request names none. */
    readonly maximumTokens: number;
    /** The caller's estimate of the output in tokens. */
    readonly estimatedTokens: number | undefined;
    readonly headers: HeaderList;
}

/** Tokens of output that a request is foreseen to need: the caller's estimate, and no more than it asks for at most. */
export function foreseenOutput({ maximumTokens, estimatedTokens }: RequestHead): number {
    return Math.min(maximumTokens, estimatedTokens ?? maximumTokens);
}

/** A copy of a run's memory from which another run goes on. */
export interface RunCopy {
    /** The address of the backend server whose run was copied. */
    readonly source: string;
    /** The name of the copy at its source: a run's caller attempt, or the handle of a move. */
    readonly name: string;
}

/** One send of a request to a backend server. */
export interface BackendCall {
    readonly attemptId: AttemptId;
    readonly backendServer: BackendServerId;
    readonly address: string;
    readonly head: RequestHead;
    readonly timeLeft: Milliseconds;
    readonly organisation: OrganisationId | undefined;
    /** 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Where the run's memory is copied to as it grows. */
    readonly replicaAddress: string | undefined;
    /** The last event that the caller has. */
    readonly lastEvent: number | undefined;
    readonly continuesFrom: RunCopy | undefined;
    /** Only a channel that is new or was in use a moment ago may carry the call. */
    readonly needsFreshChannel: boolean;
}

/** The head of a backend server's answer. */
export interface ResponseHead {
    readonly status: number;
    readonly callerAttemptId: CallerAttemptId | undefined;
    /** Whether the backend server signed the answer. */
    readonly isSealed: boolean;
    /** Whether the backend server says that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether the body is encoded, so that it can't be the backend server's own. */
    readonly isEncoded: boolean;
    readonly isEventStream: boolean;
    /** Whether the body has no end of its own, so that its end can't be told from a break between two bytes. */
    readonly endsWithChannel: boolean;
    readonly headers: HeaderList;
}

/** A whole answer of a backend server. */
export interface BackendAnswer extends ResponseHead {
    readonly body: Uint8Array;
}

/** One event of a stream. */
export interface StreamEvent {
    readonly id: number | undefined;
    /** The event as the backend server wrote it, with its closing empty line. */
    readonly bytes: Uint8Array;
}
