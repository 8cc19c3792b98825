/**
 * Decoded messages of callers and backend servers. Header lists are flat (name, value, name, value) and contain only
 * the headers that are forwarded unchanged.
 */
import type {
    ApiKey,
    AttemptId,
    BackendServerId,
    CallerAttemptId,
    EventId,
    Milliseconds,
    OrganisationId,
    PromptPartId,
} from "@verbenaspring/model";

/** Header names and values, alternating. */
export type HeaderList = readonly string[];

/** The head of a caller's request. */
export interface RequestHead {
    readonly callerAttemptId: CallerAttemptId;
    readonly method: string;
    /** The path and query, as the caller sent them. */
    readonly target: string;
    /** In lower case, without a port. */
    readonly host: string;
    /** How long the caller waits for the final answer. */
    readonly timeLimit: Milliseconds | undefined;
    readonly apiKey: ApiKey | undefined;
    /** The id of the last event that the caller has from an earlier answer to this request. */
    readonly lastEvent: EventId | undefined;
    /** The caller attempt that got the first event of that answer; undefined if the caller does not say. */
    readonly resumedAttemptId: CallerAttemptId | undefined;
    /** Tokens of the prompt; 0 if the request does not state them. */
    readonly promptTokens: number;
    /** The maximum output in tokens; 0 if the request does not state it. */
    readonly maximumTokens: number;
    /** The caller's estimate of the output in tokens. */
    readonly estimatedTokens: number | undefined;
    /** The parts of the prompt that other requests may share, in order; without the last part, which is its own. */
    readonly sharedParts: readonly PromptPartId[];
    readonly headers: HeaderList;
}

/** The expected output of a request in tokens: the caller's estimate, limited by the maximum. */
export function expectedOutput({ maximumTokens, estimatedTokens }: RequestHead): number {
    return Math.min(maximumTokens, estimatedTokens ?? maximumTokens);
}

/** A replica of a run's memory from which another run continues. */
export interface RunReplica {
    /** The address of the backend server whose run was replicated. */
    readonly source: string;
    /** The name of the replica at its source: the run's caller attempt, or the handle of a migration. */
    readonly name: string;
}

/** The call to a backend server for one attempt. */
export interface BackendCall {
    readonly attemptId: AttemptId;
    readonly backendServer: BackendServerId;
    readonly address: string;
    readonly head: RequestHead;
    readonly timeLeft: Milliseconds;
    readonly organisation: OrganisationId | undefined;
    /** 0 is the most urgent. */
    readonly priority: number | undefined;
    /** The engine that the run's memory is replicated to as it grows. */
    readonly replicaAddress: string | undefined;
    /** The id of the last event that the caller has. */
    readonly lastEvent: EventId | undefined;
    readonly continuesFrom: RunReplica | undefined;
    /** Whether the call may only use a channel that is new or was in use a moment ago. */
    readonly needsFreshChannel: boolean;
}

/** The head of a backend server's answer, and whether it can belong to an earlier call on its channel. */
export interface ResponseHead extends DecodedHead {
    readonly isFirstOnChannel: boolean;
}

/** The head of a backend server's answer. */
export interface DecodedHead {
    readonly status: number;
    readonly callerAttemptId: CallerAttemptId | undefined;
    /** Whether the backend server signed the answer. */
    readonly isSealed: boolean;
    /** Whether the backend server states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether the body has a content encoding, which backend servers never use. */
    readonly isEncoded: boolean;
    /** The requests a second that the backend server accepts from all gateways together; undefined without a limit. */
    readonly requestLimit: number | undefined | "unreadable";
    /** How long the backend server wants no further request from this gateway; undefined if it does not say. */
    readonly retryAfter: Milliseconds | undefined | "unreadable";
    /** How much longer the backend server is cold; undefined if it does not say. */
    readonly coldRemaining?: Milliseconds | undefined;
    /** The version of the weights with which the backend server began the answer; undefined if it does not say. */
    readonly weightVersion?: number | undefined;
    /** Whether the backend server states that it leaves. */
    readonly isLeaving: boolean;
    readonly isEventStream: boolean;
    /** Whether the body has neither length nor framing, so that its end can't be told from a lost connection. */
    readonly endsWithChannel: boolean;
    readonly headers: HeaderList;
}

/** A complete answer of a backend server that is not a stream. */
export interface BackendAnswer extends ResponseHead {
    readonly body: Uint8Array;
}

/** One event of a stream. */
export interface StreamEvent {
    /** Undefined without an id that has an order. */
    readonly id: EventId | undefined;
    /** The event as the backend server sent it, including the empty line at its end. */
    readonly bytes: Uint8Array;
    /** Whether it has no fields: comments and empty lines, of which nothing is lost if they are not sent again. */
    readonly isComment?: boolean;
}
