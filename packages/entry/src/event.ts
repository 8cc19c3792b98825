/**
 * The events that an entry handles.
 */
import type { ClaimStatement, OffsetRecord, SidecarMessage } from "@verbenaspring/coordination";
import type {
    BackendServerId,
    ChangeId,
    ConfigurationRecord,
    ConfigurationSnapshot,
    DocumentByKind,
    DocumentKind,
    FailureDomain,
    GenerationId,
    LogOffset,
    Milliseconds,
    RequestId,
    RouteName,
    ServiceName,
    SidecarIncarnation,
} from "@verbenaspring/model";

/** The position in a streamed answer from which a caller can resume: the `id` of a server-sent event. */
export interface Cursor {
    readonly backendServer: BackendServerId;
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly generationId: GenerationId;
    /** The index of the next token. */
    readonly next: number;
}

/** What a caller requests: a completion by an engine, or a call of a plain service. */
export type CallTarget =
    | {
        readonly kind: "completion";
        readonly route: RouteName;
        readonly streamed: boolean;
        readonly promptTokens: number;
        readonly maximumTokens: number;
    }
    | { readonly kind: "service"; readonly service: ServiceName; readonly method: string; readonly path: string; };

/** One caller's request with its whole body. */
export interface Call {
    /** SHA-256 of the bearer key, in lower-case hexadecimal; empty where none was given. */
    readonly bearerDigest: string;
    readonly target: CallTarget;
    readonly contentType: string;
    readonly body: string;
    /** Digests of the `Idempotency-Key` header and of the request that was sent with it. */
    readonly idempotency: { readonly keyDigest: string; readonly requestDigest: string; } | undefined;
    readonly cursor: Cursor | undefined;
    /** The caller's time limit for the whole answer. */
    readonly timeLimit: Milliseconds | undefined;
    readonly traceparent: string;
}

/** A backend server in the platform's instance list. */
export interface ListedInstance {
    readonly backendServer: BackendServerId;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomain;
    /** The sidecar's IP address and port. */
    readonly linkAddress: string;
    readonly leaving: boolean;
}

/** An operator's call. */
export type OperatorCall =
    | {
        readonly kind: "change";
        readonly document: DocumentKind;
        readonly name: string;
        readonly value: DocumentByKind[DocumentKind] | undefined;
        readonly expectedRevision: LogOffset;
    }
    | { readonly kind: "listDocuments"; readonly document: DocumentKind | undefined; }
    | { readonly kind: "revision"; }
    | { readonly kind: "waits"; readonly organisation: string | undefined; };

/** An event: a caller's, a sidecar's or an operator's action, the outcome of an effect, or the passing of time. */
export type EntryEvent =
    | { readonly kind: "callerRequested"; readonly requestId: RequestId; readonly call: Call; }
    | { readonly kind: "callerLeft"; readonly requestId: RequestId; }
    /** The caller does not read, so no more tokens are acknowledged until its output has drained. */
    | { readonly kind: "callerBlocked"; readonly requestId: RequestId; }
    | { readonly kind: "callerDrained"; readonly requestId: RequestId; }
    | {
        readonly kind: "linkMessage";
        readonly backendServer: BackendServerId;
        readonly linkNumber: number;
        readonly message: SidecarMessage;
    }
    | { readonly kind: "linkClosed"; readonly backendServer: BackendServerId; readonly linkNumber: number; }
    | { readonly kind: "instancesListed"; readonly instances: readonly ListedInstance[]; }
    | {
        readonly kind: "configurationRead";
        readonly records: readonly OffsetRecord<ConfigurationRecord>[];
        readonly earliest: LogOffset;
        /** The offset that the log's next record will have. */
        readonly end: LogOffset;
    }
    | { readonly kind: "configurationReadFailed"; }
    | {
        readonly kind: "claimsRead";
        readonly records: readonly OffsetRecord<readonly ClaimStatement[]>[];
        readonly earliest: LogOffset;
        readonly end: LogOffset;
    }
    | { readonly kind: "claimsReadFailed"; }
    | { readonly kind: "claimsAppended"; }
    /** The append failed, or its answer was lost and it may have taken effect. */
    | { readonly kind: "claimsAppendFailed"; }
    | { readonly kind: "changeAppended"; readonly changeId: ChangeId; }
    | { readonly kind: "changeAppendFailed"; readonly changeId: ChangeId; }
    /** Answers `requestPeerSnapshots` with the configurations of the peers that were reachable. */
    | { readonly kind: "peersAnswered"; readonly snapshots: readonly ConfigurationSnapshot[]; }
    | { readonly kind: "operatorCalled"; readonly callId: string; readonly call: OperatorCall; }
    | { readonly kind: "stopRequested"; }
    | { readonly kind: "tick"; };
