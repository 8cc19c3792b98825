/**
 * The services, documents, limits and timings of the fuzzer's world of entries and sidecars.
 */
import {
    type DocumentByKind,
    type DocumentKind,
    identifier,
    type OrganisationId,
    type RouteName,
    type ServiceName,
} from "@verbenaspring/model";

/** The number of entries. */
export const entryCount = 3;
/** The service of the engines. */
export const engineService = identifier<ServiceName>("assistant");
/** The plain service; its confirmations are not idempotent. */
export const plainService = identifier<ServiceName>("booking");
/** The service of each backend server. */
export const services = [engineService, engineService, engineService, plainService, plainService];
/** The digest of every caller's bearer key. */
export const bearerDigest = "a".repeat(64);

/** A document that is in the log from the beginning. */
export interface InitialDocument {
    readonly kind: DocumentKind;
    readonly document: DocumentByKind[DocumentKind];
}

/** The documents that are in the log from the beginning. */
export const initialDocuments: readonly InitialDocument[] = [
    {
        kind: "service",
        document: { name: engineService, kind: "engine", objective: "stall", nonIdempotentCalls: [], concurrency: 1 },
    },
    {
        kind: "service",
        document: {
            name: plainService,
            kind: "plain",
            objective: "stall",
            nonIdempotentCalls: ["POST /confirm"],
            concurrency: 2,
        },
    },
    {
        kind: "route",
        document: { name: identifier<RouteName>("plan"), service: engineService, workKind: "long", deadline: 20_000 },
    },
    {
        kind: "organisation",
        document: { name: identifier<OrganisationId>("organisation"), keyDigest: bearerDigest, weight: 1 },
    },
];

/** Limits of the entries, and times in milliseconds. The times are short, so that they pass within a schedule. */
export const entryTimings = {
    heartbeatInterval: 300,
    silenceTimeout: 1_000,
    reconnectDelay: 100,
    lostTimeout: 4_000,
    maximumRequests: 200,
    linksPerService: 16,
    serviceDeadline: 20_000,
    commentInterval: 900,
    keyRetention: 3_600_000,
    snapshotInterval: 8_000,
    stopGrace: 300,
    stopTimeout: 0,
};

/** Limits of the sidecars, and times in milliseconds. */
export const sidecarTimings = {
    memoryTokens: 700,
    maximumOutputTokens: 1_000,
    maximumQueue: 12,
    keptTokens: 20_000,
    unacknowledgedTokens: 48,
    heartbeatInterval: 300,
    silenceTimeout: 1_000,
    detachedWindow: 3_000,
    resumeWindow: 6_000,
    stopTimeout: 0,
};
