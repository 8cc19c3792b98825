/**
 * The effects that a gateway asks its caller to perform.
 */
import type {
    AttemptId,
    BackendServerId,
    CallerAttemptId,
    Failure,
    LogOffset,
    Milliseconds,
    PeerAddress,
    RequestId,
} from "@verbenaspring/model";
import type { ServerChecks } from "./answerEnds.js";
import type { TopicName } from "./event.js";
import type { BackendAnswer, BackendCall, ResponseHead, StreamEvent } from "./messages.js";
import type { PeerReport } from "./peerReport.js";
import type { CallerLimits } from "./routingConfiguration.js";
import type { BaseVersion, StreamRecord } from "./streamRegister.js";

/** The log fields of a decision. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A log line: a decision on a request, or a change in what the gateway knows. */
export interface Decision {
    readonly level: "debug" | "info" | "warn";
    readonly event: string;
    readonly fields: DecisionFields;
}

/** A call to the register of streams in the platform's store. */
export type StreamRegisterCall =
    | { readonly kind: "read"; readonly from: LogOffset; }
    | { readonly kind: "record"; readonly records: readonly StreamRecord[]; }
    /** Writes a base version, unless one was written from the offset `at` on. */
    | { readonly kind: "writeBase"; readonly baseVersion: BaseVersion; readonly at: LogOffset; };

/** An effect for the caller of the reducer to perform. */
export type GatewayEffect =
    | { readonly kind: "sendAttempt"; readonly requestId: RequestId; readonly call: BackendCall; }
    | { readonly kind: "cancelAttempt"; readonly attemptId: AttemptId; }
    /** The answer of an earlier attempt, which is still open, goes to the caller instead of that of the newest. */
    | { readonly kind: "returnToAttempt"; readonly requestId: RequestId; readonly attemptId: AttemptId; }
    | { readonly kind: "answerWhole"; readonly requestId: RequestId; readonly answer: BackendAnswer; }
    | { readonly kind: "answerHead"; readonly requestId: RequestId; readonly head: ResponseHead; }
    | { readonly kind: "answerEvents"; readonly requestId: RequestId; readonly events: readonly StreamEvent[]; }
    | { readonly kind: "answerEnd"; readonly requestId: RequestId; }
    /** Closes the caller's channel so that the answer can't be taken for a complete one. */
    | { readonly kind: "answerCut"; readonly requestId: RequestId; }
    | { readonly kind: "answerFailure"; readonly requestId: RequestId; readonly failure: Failure; }
    | {
        readonly kind: "probeServer";
        readonly backendServer: BackendServerId;
        readonly address: string;
        /** The incarnation of the server, which is returned with the result. */
        readonly startedAt: number | undefined;
        /** Whether the server has a report; of another one a probe tells only whether it accepts connections. */
        readonly hasReport: boolean;
    }
    /**
     * Asks the server of an answer whose channel has ended, and no other server, for its report or, where it has none, for the
     * answer to a health check, which tells only that it runs.
     */
    | ServerChecks & {
        readonly kind: "checkAnswerEnd";
        readonly attemptId: AttemptId;
        readonly backendServer: BackendServerId;
        readonly address: string;
    }
    /** Closes the channels to a server that are not in use: it has restarted. */
    | { readonly kind: "closeIdleChannels"; readonly address: string; }
    /** Has a server copy a run's memory to another one. */
    | {
        readonly kind: "migrateRun";
        readonly attemptId: AttemptId;
        readonly callerAttemptId: CallerAttemptId;
        readonly sourceAddress: string;
        readonly targetAddress: string;
        /** Whether the server is to stop the run first. */
        readonly isStopping: boolean;
    }
    | { readonly kind: "openPeerLink"; readonly address: PeerAddress; readonly report: PeerReport; }
    | { readonly kind: "sendReport"; readonly address: PeerAddress; readonly report: PeerReport; }
    | { readonly kind: "closePeerLink"; readonly address: PeerAddress; }
    | { readonly kind: "readTopic"; readonly topic: TopicName; readonly from: LogOffset; readonly wait: Milliseconds; }
    | { readonly kind: "readSnapshot"; readonly topic: TopicName; }
    | { readonly kind: "callStreamRegister"; readonly call: StreamRegisterCall; }
    | { readonly kind: "applyLimits"; readonly limits: CallerLimits; }
    | { readonly kind: "startDraining"; }
    | { readonly kind: "exit"; }
    | { readonly kind: "logDecision"; readonly decision: Decision; };
