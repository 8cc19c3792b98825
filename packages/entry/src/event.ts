/**
 * Everything that can happen to an entry.
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

/** Where a caller's answer stands: the `id` of a server-sent event. */
export interface Cursor {
    readonly backendServer: BackendServerId;
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly generationId: GenerationId;
    /** The index of the next token. */
    readonly next: number;
}

/** What a caller asks for. */
export type CallTarget =
    | {
        readonly kind: "completion";
        readonly route: RouteName;
        readonly streamed: boolean;
        readonly promptTokens: number;
        readonly maximumTokens: number;
    }
    | { readonly kind: "service"; readonly service: ServiceName; readonly method: string; readonly path: string; };

/** One caller's request, read whole. */
export interface Call {
    /** SHA-256 of the bearer key, in lower-case hexadecimal; empty where none was given. */
    readonly bearerDigest: string;
    readonly target: CallTarget;
    readonly contentType: string;
    readonly body: string;
    /** Digests of the `Idempotency-Key` and of what was asked under it. */
    readonly idempotency: { readonly keyDigest: string; readonly requestDigest: string; } | undefined;
    readonly cursor: Cursor | undefined;
    /** The caller's own limit on the whole answer. */
    readonly timeLimit: Milliseconds | undefined;
    readonly traceparent: string;
}

/** A backend server as the platform's instance list gives it. */
export interface ListedInstance {
    readonly backendServer: BackendServerId;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomain;
    /** IP number and port of the sidecar. */
    readonly linkAddress: string;
    readonly leaving: boolean;
}

/** What an operator asks for. */
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

/** One event. */
export type EntryEvent =
    | { readonly kind: "callerRequested"; readonly requestId: RequestId; readonly call: Call; }
    | { readonly kind: "callerLeft"; readonly requestId: RequestId; }
    /** The caller doesn't read: nothing more is acknowledged until it has drained. */
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
    /** The append failed or its answer was lost; it may have taken effect. */
    | { readonly kind: "claimsAppendFailed"; }
    | { readonly kind: "changeAppended"; readonly changeId: ChangeId; }
    | { readonly kind: "changeAppendFailed"; readonly changeId: ChangeId; }
    /** The configurations of the peers that could be reached. */
    | { readonly kind: "peersAnswered"; readonly snapshots: readonly ConfigurationSnapshot[]; }
    | { readonly kind: "operatorCalled"; readonly callId: string; readonly call: OperatorCall; }
    | { readonly kind: "stopRequested"; }
    | { readonly kind: "tick"; };
