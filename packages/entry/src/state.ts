/**
 * An entry's state. Only the reducer changes it, in place.
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
    FailureDomain,
    GenerationId,
    KeyDigest,
    LogOffset,
    Milliseconds,
    OrganisationDocument,
    RequestId,
    ServiceName,
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
    /** How long a link is down before the attempts on it are lost. */
    readonly lostTimeout: Milliseconds;
    readonly maximumRequests: number;
    readonly linksPerService: number;
    /** The time limit of a service call, unless its caller sets a shorter one. */
    readonly serviceDeadline: Milliseconds;
    /** A waiting caller is sent a comment after this long without output. */
    readonly commentInterval: Milliseconds;
    readonly keyRetention: Milliseconds;
    readonly snapshotInterval: Milliseconds;
    /**
     * How long new requests are still accepted after a stop request, so that the load balancer has time to notice it.
     */
    readonly stopGrace: Milliseconds;
    /** How long a planned stop waits for requests to end; 0 for no limit. */
    readonly stopTimeout: Milliseconds;
}

/** One attempt to run a request at one sidecar. */
export interface EntryAttempt {
    readonly id: AttemptId;
    readonly requestId: RequestId;
    readonly backendServer: BackendServerId;
    readonly sidecarIncarnation: SidecarIncarnation;
    readonly isResume: boolean;
    /** True once the sidecar has been asked never to start the attempt. */
    isWithdrawing: boolean;
    generationId: GenerationId | undefined;
}

/** One request of a caller. It is kept until its final answer. */
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
    /** The claim of the request's key that has not been read back from the log yet. */
    pendingClaimId: ClaimId | undefined;
    /** The claim with which the request holds its key. */
    wonClaimId: ClaimId | undefined;
    readonly attempts: Map<AttemptId, EntryAttempt>;
    /** Attempts made so far. */
    attemptCount: number;
    /** Attempts that were refused as overloaded. */
    overloadRefusals: number;
    /** Backend servers that the request avoids, each with the end of that time. */
    readonly avoidUntil: Map<BackendServerId, Milliseconds>;
    /** True once an attempt that may have run was lost. */
    mayHaveRun: boolean;
    readonly ledger: TokenLedger;
    /** Tokens written to the caller or buffered, counted from the start of the generation also after a resume. */
    writtenTokens: number;
    /** The tokens of an answer that is not streamed. */
    bufferedTexts: string[];
    acknowledgedTokens: number;
    /** True while the caller does not read. */
    isBlocked: boolean;
    lastWrittenAt: Milliseconds;
    /** Attempts ahead of this request's in the sidecar's queue. */
    ahead: number;
    /** The wait that a sidecar last forecast. */
    expected: Milliseconds;
    readonly waits: WaitRecord;
}

/** The link to one sidecar. */
export interface EntryLink {
    readonly backendServer: BackendServerId;
    instance: ListedInstance;
    /** True while the instance list has the sidecar and it is among those chosen. */
    isListed: boolean;
    /** Grows with each connection that is opened. */
    linkNumber: number;
    phase: "connecting" | "open" | "closed";
    sidecarIncarnation: SidecarIncarnation | undefined;
    lastReceived: Milliseconds;
    lastSent: Milliseconds;
    /** When to open the next connection, while closed. */
    retryAt: Milliseconds;
    failures: number;
    downSince: Milliseconds | undefined;
    load: Load | undefined;
    leaving: boolean;
    /** Runs sent since the last load report. */
    sentSinceReport: number;
    /** The configuration offset last sent over this link. */
    sentConfigurationOffset: LogOffset;
}

/** An operator's change that has not been read back from the log yet. */
export interface PendingChange {
    readonly callId: string;
    readonly change: ConfigurationChange;
    readonly since: Milliseconds;
    retryAt: Milliseconds | undefined;
    appendCount: number;
}

/** The reads of one stream of the log. */
export interface StreamFollower {
    isReading: boolean;
    retryAt: Milliseconds;
    failures: number;
    lastReadAt: Milliseconds | undefined;
}

/** Everything that an entry knows. None of it outlives the process. */
export interface EntryState {
    readonly options: EntryOptions;
    readonly requests: Map<RequestId, EntryRequest>;
    readonly attempts: Map<AttemptId, EntryAttempt>;
    readonly links: Map<BackendServerId, EntryLink>;
    configuration: ConfigurationState;
    /** True once the log has been read to its end or a peer's configuration has been adopted. */
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
    /** The organisations by bearer key digest, and the documents that this index was built from. */
    organisations: { readonly documents: ReadonlyMap<string, StoredDocument>; readonly byDigest: OrganisationIndex; };
}

type OrganisationIndex = ReadonlyMap<string, OrganisationDocument>;

/**
 * Creates the state of an entry that has just started.
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

/** Whether the load balancer may send callers to this entry. */
export function isReady(state: EntryState): boolean {
    return state.isConfigurationReady && state.stopRequestedAt === undefined;
}

/** Finds the organisation that a bearer key belongs to. */
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

/** Whether an operator has drained the backend server. */
export function isDrained(state: EntryState, backendServer: BackendServerId): boolean {
    return findDocument(state.configuration, "drain", backendServer) !== undefined;
}

/** Whether an operator has requested the evacuation of the failure domain. */
export function isEvacuated(state: EntryState, failureDomain: FailureDomain): boolean {
    return findDocument(state.configuration, "evacuation", failureDomain) !== undefined;
}

/** Whether evacuations leave a service no backend server that stays. */
export function isServiceEvacuated(state: EntryState, service: ServiceName): boolean {
    const links = [...state.links.values()].filter(({ instance }) => instance.service === service);
    const evacuated = links.filter(({ instance }) => isEvacuated(state, instance.failureDomain));
    const staying = links.filter(link =>
        !evacuated.includes(link) && !link.leaving && !link.instance.leaving && !isDrained(state, link.backendServer)
    );
    return evacuated.length > 0 && staying.length === 0;
}
