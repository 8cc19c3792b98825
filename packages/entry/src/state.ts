/**
 * An entry's state. The loop alone owns it; the reducer changes it in place.
 */
import {
    type ClaimState,
    type ClaimStatement,
    type ConfigurationState,
    emptyClaims,
    emptyConfiguration,
    findDocument,
    type Load,
    type RequestWaits,
    type TokenLedger,
    type WaitRecord,
    type Work,
} from "@verbenaspring/coordination";
import type {
    AttemptId,
    BackendServerId,
    ChangeId,
    ClaimId,
    ConfigurationChange,
    EntryIncarnation,
    GenerationId,
    KeyDigest,
    LogOffset,
    Milliseconds,
    OrganisationDocument,
    RequestId,
    SidecarIncarnation,
    StoredDocument,
} from "@verbenaspring/model";
import type { Cursor, ListedInstance } from "./event.js";

/** Limits and timings of one entry. Durations are in milliseconds. */
export interface EntryOptions {
    readonly incarnation: EntryIncarnation;
    readonly heartbeatInterval: Milliseconds;
    readonly silenceTimeout: Milliseconds;
    readonly reconnectDelay: Milliseconds;
    /** How long a link is down before the attempts on it count as lost. */
    readonly lostTimeout: Milliseconds;
    readonly maximumRequests: number;
    readonly linksPerService: number;
    /** The deadline of a service call that names none. */
    readonly serviceDeadline: Milliseconds;
    /** A caller hears something at least this often. */
    readonly commentInterval: Milliseconds;
    readonly keyRetention: Milliseconds;
    readonly snapshotInterval: Milliseconds;
    /** How long after a stop was asked for new requests are still taken, so that the balancer can look away. */
    readonly stopGrace: Milliseconds;
    /** How long a planned stop waits; 0 for as long as it takes. */
    readonly stopTimeout: Milliseconds;
}

/** One attempt, as the entry knows it. */
export interface EntryAttempt {
    readonly id: AttemptId;
    readonly requestId: RequestId;
    readonly backendServer: BackendServerId;
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly isResume: boolean;
    isWithdrawing: boolean;
    generationId: GenerationId | undefined;
}

/** One request of a caller, until its final answer. */
export interface EntryRequest {
    readonly id: RequestId;
    readonly work: Work;
    readonly routeName: string;
    readonly streamed: boolean;
    readonly isPlain: boolean;
    readonly cursor: Cursor | undefined;
    readonly arrivedAt: Milliseconds;
    readonly deadline: Milliseconds;
    readonly key: { readonly digest: KeyDigest; readonly requestDigest: string; } | undefined;
    /** Set while the claim's place in the log is awaited. */
    pendingClaimId: ClaimId | undefined;
    /** Set once the claim has won. */
    wonClaimId: ClaimId | undefined;
    readonly attempts: Map<AttemptId, EntryAttempt>;
    /** Attempts dispatched so far. */
    attemptCount: number;
    overloadRefusals: number;
    /** Backend servers not to try before a time. */
    readonly avoidUntil: Map<BackendServerId, Milliseconds>;
    /** An attempt was given up whose outcome is unknown. */
    mayHaveRun: boolean;
    readonly ledger: TokenLedger;
    /** Tokens handed to the caller, or kept for a whole answer. */
    writtenTokens: number;
    bufferedTexts: string[];
    acknowledgedTokens: number;
    isBlocked: boolean;
    lastWrittenAt: Milliseconds;
    ahead: number;
    expected: Milliseconds;
    readonly waits: WaitRecord;
}

/** One link to a sidecar. */
export interface EntryLink {
    readonly backendServer: BackendServerId;
    instance: ListedInstance;
    isListed: boolean;
    linkNumber: number;
    phase: "connecting" | "open" | "closed";
    sidecarIncarnation: SidecarIncarnation | undefined;
    lastReceived: Milliseconds;
    lastSent: Milliseconds;
    /** When to open the next link, while closed. */
    retryAt: Milliseconds;
    failures: number;
    downSince: Milliseconds | undefined;
    load: Load | undefined;
    leaving: boolean;
    sentSinceReport: number;
    /** The configuration offset last sent over this link. */
    sentConfigurationOffset: LogOffset;
}

/** An operator's change that has not been read back yet. */
export interface PendingChange {
    readonly callId: string;
    readonly change: ConfigurationChange;
    readonly since: Milliseconds;
    retryAt: Milliseconds | undefined;
    appendCount: number;
}

/** Following one stream of the log. */
export interface StreamFollower {
    isReading: boolean;
    retryAt: Milliseconds;
    failures: number;
    lastReadAt: Milliseconds | undefined;
}

/** The whole state. */
export interface EntryState {
    readonly options: EntryOptions;
    readonly requests: Map<RequestId, EntryRequest>;
    readonly attempts: Map<AttemptId, EntryAttempt>;
    readonly links: Map<BackendServerId, EntryLink>;
    configuration: ConfigurationState;
    /** True once the log's end was reached or the peers' configuration was taken. */
    isConfigurationReady: boolean;
    configurationFollower: StreamFollower;
    claims: ClaimState;
    claimsFollower: StreamFollower;
    requestsByClaim: Map<ClaimId, RequestId>;
    pendingStatements: ClaimStatement[];
    statementsInFlight: ClaimStatement[] | undefined;
    claimAppendRetryAt: Milliseconds;
    claimAppendFailures: number;
    readonly pendingChanges: Map<ChangeId, PendingChange>;
    peersRequestedAt: Milliseconds | undefined;
    snapshotDueAt: Milliseconds | undefined;
    readonly finishedWaits: RequestWaits[];
    stopRequestedAt: Milliseconds | undefined;
    hasExited: boolean;
    organisations: { readonly documents: ReadonlyMap<string, StoredDocument>; readonly byDigest: OrganisationIndex; };
}

type OrganisationIndex = ReadonlyMap<string, OrganisationDocument>;

/**
 * The state of an entry that has just started.
 *
 * @example
 * const state = createEntryState(options);
 */
export function createEntryState(options: EntryOptions): EntryState {
    return {
        options,
        requests: new Map(),
        attempts: new Map(),
        links: new Map(),
        configuration: emptyConfiguration,
        isConfigurationReady: false,
        configurationFollower: createFollower(),
        claims: emptyClaims(),
        claimsFollower: createFollower(),
        requestsByClaim: new Map(),
        pendingStatements: [],
        statementsInFlight: undefined,
        claimAppendRetryAt: 0,
        claimAppendFailures: 0,
        pendingChanges: new Map(),
        peersRequestedAt: undefined,
        snapshotDueAt: undefined,
        finishedWaits: [],
        stopRequestedAt: undefined,
        hasExited: false,
        organisations: { documents: emptyConfiguration.documents, byDigest: new Map() },
    };
}

function createFollower(): StreamFollower {
    return { isReading: false, retryAt: 0, failures: 0, lastReadAt: undefined };
}

/** True where the balancer should send callers here. */
export function isReady(state: EntryState): boolean {
    return state.isConfigurationReady && state.stopRequestedAt === undefined;
}

/** The organisation that holds a bearer key. */
export function findOrganisation(state: EntryState, bearerDigest: string): OrganisationDocument | undefined {
    const { documents } = state.configuration;
    if (state.organisations.documents !== documents) {
        state.organisations = { documents, byDigest: indexOrganisations(documents) };
    }
    return state.organisations.byDigest.get(bearerDigest);
}

function indexOrganisations(documents: ReadonlyMap<string, StoredDocument>): OrganisationIndex {
    const index = new Map<string, OrganisationDocument>();
    for (const stored of documents.values()) {
        if (stored.kind === "organisation" && stored.document !== undefined) {
            const organisation = stored.document as OrganisationDocument;
            index.set(organisation.keyDigest, organisation);
        }
    }
    return index;
}

/** True where an operator has drained the backend server. */
export function isDrained(state: EntryState, backendServer: BackendServerId): boolean {
    return findDocument(state.configuration, "drain", backendServer) !== undefined;
}
