/**
 * The effects that an entry's reducer returns, which the entry's process performs.
 */
import type { ClaimAnswer, ClaimStatement, EntryMessage, RequestWaits, WaitReason } from "@verbenaspring/coordination";
import type {
    BackendServerId,
    ConfigurationChange,
    ConfigurationSnapshot,
    Failure,
    GenerationId,
    InvariantViolation,
    LogOffset,
    Milliseconds,
    OrganisationId,
    RequestId,
    SidecarIncarnation,
    StoredDocument,
} from "@verbenaspring/model";

/** Identifies the generation that tokens come from. Together with a token index it is a cursor. */
export interface GenerationReference {
    readonly backendServer: BackendServerId;
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly generationId: GenerationId;
}

/** Which configuration one linked sidecar has applied. */
export interface SidecarRevision {
    readonly backendServer: BackendServerId;
    readonly configurationOffset: LogOffset;
    /** True if no document that concerns the sidecar has changed since. */
    readonly current: boolean;
    readonly leaving: boolean;
    readonly connected: boolean;
}

/** The answer to an operator's call. */
export type OperatorAnswer =
    | { readonly kind: "changed"; readonly revision: LogOffset; }
    | { readonly kind: "conflict"; readonly revision: LogOffset; }
    | { readonly kind: "unavailable"; readonly message: string; }
    | {
        readonly kind: "documents";
        readonly configurationOffset: LogOffset;
        readonly documents: readonly StoredDocument[];
    }
    | {
        readonly kind: "revision";
        readonly configurationOffset: LogOffset;
        readonly sidecars: readonly SidecarRevision[];
    }
    | { readonly kind: "waits"; readonly waits: readonly RequestWaits[]; };

/** An effect, as data. */
export type EntryEffect =
    | {
        readonly kind: "answerTokens";
        readonly requestId: RequestId;
        readonly generation: GenerationReference;
        readonly from: number;
        readonly texts: readonly string[];
    }
    | {
        readonly kind: "answerEnd";
        readonly requestId: RequestId;
        readonly count: number;
        readonly finishReason: string;
    }
    | {
        readonly kind: "answerWhole";
        readonly requestId: RequestId;
        readonly texts: readonly string[];
        readonly finishReason: string;
    }
    | { readonly kind: "answerResponse"; readonly requestId: RequestId; readonly answer: ClaimAnswer; }
    | { readonly kind: "answerFailure"; readonly requestId: RequestId; readonly failure: Failure; }
    | {
        readonly kind: "answerComment";
        readonly requestId: RequestId;
        readonly reason: WaitReason;
        readonly ahead: number;
        readonly expected: Milliseconds;
    }
    | {
        readonly kind: "openLink";
        readonly backendServer: BackendServerId;
        readonly address: string;
        readonly linkNumber: number;
    }
    | {
        readonly kind: "sendMessage";
        readonly backendServer: BackendServerId;
        readonly linkNumber: number;
        readonly message: EntryMessage;
    }
    | { readonly kind: "closeLink"; readonly backendServer: BackendServerId; readonly linkNumber: number; }
    | { readonly kind: "readConfiguration"; readonly from: LogOffset; }
    | { readonly kind: "readClaims"; readonly from: LogOffset; }
    | { readonly kind: "appendClaims"; readonly statements: readonly ClaimStatement[]; }
    | { readonly kind: "appendChange"; readonly change: ConfigurationChange; }
    | { readonly kind: "appendSnapshot"; readonly snapshot: ConfigurationSnapshot; }
    | { readonly kind: "requestPeerSnapshots"; }
    | { readonly kind: "answerOperator"; readonly callId: string; readonly answer: OperatorAnswer; }
    | { readonly kind: "observe"; readonly observation: EntryObservation; }
    | { readonly kind: "violated"; readonly requestId: RequestId | undefined; readonly violation: InvariantViolation; }
    | { readonly kind: "exit"; };

/** Something to log or to count in a metric. */
export type EntryObservation =
    | {
        readonly event: "request_finished";
        readonly requestId: RequestId;
        readonly organisation: OrganisationId;
        readonly result: string;
        readonly duration: Milliseconds;
        readonly tokens: number;
        readonly waits: RequestWaits["spans"];
    }
    | { readonly event: "first_token"; readonly requestId: RequestId; readonly after: Milliseconds; }
    | { readonly event: "attempt_lost"; readonly requestId: RequestId; readonly backendServer: BackendServerId; }
    | { readonly event: "link_opening"; readonly backendServer: BackendServerId; readonly linkNumber: number; }
    | { readonly event: "link_open"; readonly backendServer: BackendServerId; readonly linkNumber: number; }
    | { readonly event: "link_down"; readonly backendServer: BackendServerId; readonly reason: "silent" | "closed"; }
    | { readonly event: "configuration_applied"; readonly through: LogOffset; }
    | { readonly event: "log_unavailable"; readonly stream: "configuration" | "claims"; }
    | { readonly event: "stopping"; };
