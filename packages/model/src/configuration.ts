/**
 * The configuration documents written by operators, and the records that carry them in the platform's log.
 */
import { z } from "zod";
import type { ChangeId, LogOffset, OrganisationId, RouteName, ServiceName } from "./identifiers.js";

const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/, "a name of letters, digits, '.', '_' and '-'");

/** What matters most to the users of a service: short stalls or few preemptions. It selects the admission margins. */
export type Objective = "stall" | "preemptions";

/** Describes a service, a group of backend servers that do the same work. */
export interface ServiceDocument {
    readonly name: ServiceName;
    /** An `engine` service generates tokens; a `plain` service answers an HTTP request with one complete response. */
    readonly kind: "engine" | "plain";
    readonly objective: Objective;
    /** Calls that must run at most once, as `METHOD /path-prefix`. Applies to plain services only. */
    readonly nonIdempotentCalls: readonly string[];
    /** Maximum number of requests in progress at one backend server of a plain service. */
    readonly concurrency: number;
}

/** Describes a route, a kind of work that callers can request. */
export interface RouteDocument {
    readonly name: RouteName;
    readonly service: ServiceName;
    /** In a queue, short work starts before long work. */
    readonly workKind: "short" | "long";
    /** Deadline in milliseconds for requests that don't set one. */
    readonly deadline: number;
}

/** Describes an organisation, a customer of the operator. */
export interface OrganisationDocument {
    readonly name: OrganisationId;
    /** SHA-256 of the bearer key, in lower-case hexadecimal. */
    readonly keyDigest: string;
    /** Weight in a queue, relative to the other organisations. */
    readonly weight: number;
}

/** An operator's instruction that a backend server gets no new work. */
export interface DrainDocument {
    /** The backend server's id. */
    readonly name: string;
}

/** An operator's instruction that the backend servers of a failure domain get no new work. */
export interface EvacuationDocument {
    /** The failure domain. */
    readonly name: string;
}

const serviceSchema = z.strictObject({
    name,
    kind: z.enum(["engine", "plain"]),
    objective: z.enum(["stall", "preemptions"]).default("stall"),
    nonIdempotentCalls: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, "METHOD /path-prefix")).default([]),
    concurrency: z.number().int().min(1).max(10_000).default(16),
});
const routeSchema = z.strictObject({
    name,
    service: name,
    workKind: z.enum(["short", "long"]).default("short"),
    deadline: z.number().int().min(100).max(86_400_000).default(60_000),
});
const organisationSchema = z.strictObject({
    name,
    keyDigest: z.string().regex(/^[0-9a-f]{64}$/, "a SHA-256 digest in lower-case hexadecimal"),
    weight: z.number().positive().max(1_000).default(1),
});
const drainSchema = z.strictObject({ name });
const evacuationSchema = z.strictObject({ name });

/** Schemas by kind of document. */
export const documentSchemas = {
    service: serviceSchema,
    route: routeSchema,
    organisation: organisationSchema,
    drain: drainSchema,
    evacuation: evacuationSchema,
} as const;

/** Document types by kind. */
export interface DocumentByKind {
    service: ServiceDocument;
    route: RouteDocument;
    organisation: OrganisationDocument;
    drain: DrainDocument;
    evacuation: EvacuationDocument;
}

/** A kind of document. */
export type DocumentKind = keyof DocumentByKind;

/** A change by an operator, which writes or deletes a whole document. */
export interface ConfigurationChange {
    readonly changeId: ChangeId;
    readonly kind: DocumentKind;
    readonly name: string;
    /** The revision that the operator saw: the offset of the document's last change, or -1 where it has none. */
    readonly expectedRevision: LogOffset;
    /** The new document; undefined to delete it. */
    readonly document?: DocumentByKind[DocumentKind];
}

/** A document with the offset of the change that wrote it. */
export interface StoredDocument {
    readonly kind: DocumentKind;
    readonly name: string;
    readonly revision: LogOffset;
    /** Undefined for a deleted document. Its tombstone keeps the revision, so that an old change can't restore it. */
    readonly document?: DocumentByKind[DocumentKind];
}

/** All documents as of an offset in the log. */
export interface ConfigurationSnapshot {
    /** The offset of the last record that is included; -1 for the empty configuration. */
    readonly through: LogOffset;
    readonly documents: readonly StoredDocument[];
}

/** A record of the configuration stream. */
export type ConfigurationRecord =
    | { readonly type: "change"; readonly change: ConfigurationChange; }
    | { readonly type: "snapshot"; readonly snapshot: ConfigurationSnapshot; };
