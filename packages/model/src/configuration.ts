/**
 * The documents that operators write and the records that carry them through the platform's log.
 */
import { z } from "zod";
import type { ChangeId, LogOffset, OrganisationId, RouteName, ServiceName } from "./identifiers.js";

const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/, "a name of letters, digits, '.', '_' and '-'");

/** What a service's users weigh most; it moves the admission quantile. */
export type Objective = "stall" | "preemptions";

/** A group of backend servers that do the same work. */
export interface ServiceDocument {
    readonly name: ServiceName;
    /** `engine` generates tokens; `plain` answers an HTTP request whole. */
    readonly kind: "engine" | "plain";
    readonly objective: Objective;
    /** Calls that must run at most once, as `METHOD /path-prefix`. Only meaningful for plain services. */
    readonly nonIdempotentCalls: readonly string[];
    /** Most requests in progress at one backend server of a plain service. */
    readonly concurrency: number;
}

/** Names a kind of work that callers can ask for. */
export interface RouteDocument {
    readonly name: RouteName;
    readonly service: ServiceName;
    /** Short work goes before long work in a queue. */
    readonly workKind: "short" | "long";
    /** The deadline of a request that names none, in milliseconds. */
    readonly deadline: number;
}

/** A customer of the operator. */
export interface OrganisationDocument {
    readonly name: OrganisationId;
    /** SHA-256 of the bearer key, in lower-case hexadecimal. */
    readonly keyDigest: string;
    /** Share of a crowded queue, relative to the other organisations. */
    readonly weight: number;
}

/** An operator's order that a backend server takes no new work. */
export interface DrainDocument {
    /** The backend server's id. */
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

/** The shape of each kind of document. */
export const documentSchemas = {
    service: serviceSchema,
    route: routeSchema,
    organisation: organisationSchema,
    drain: drainSchema,
} as const;

/** The kinds of document, each with its type. */
export interface DocumentByKind {
    service: ServiceDocument;
    route: RouteDocument;
    organisation: OrganisationDocument;
    drain: DrainDocument;
}

/** The name of a kind of document. */
export type DocumentKind = keyof DocumentByKind;

/** One operator's change: a put of a whole document, or its removal. */
export interface ConfigurationChange {
    readonly changeId: ChangeId;
    readonly kind: DocumentKind;
    readonly name: string;
    /** The revision that the operator saw: the offset of the document's last change, or -1 where it has none. */
    readonly expectedRevision: LogOffset;
    /** The new document as JSON, or undefined to delete. */
    readonly document?: DocumentByKind[DocumentKind];
}

/** A document with the offset of the change that wrote it. */
export interface StoredDocument {
    readonly kind: DocumentKind;
    readonly name: string;
    readonly revision: LogOffset;
    /** Undefined once deleted: the tombstone keeps the revision, so that an old change can't bring it back. */
    readonly document?: DocumentByKind[DocumentKind];
}

/** All documents as of an offset. */
export interface ConfigurationSnapshot {
    /** The offset of the last record folded in; -1 for the empty configuration. */
    readonly through: LogOffset;
    readonly documents: readonly StoredDocument[];
}

/** A record of the configuration stream. */
export type ConfigurationRecord =
    | { readonly type: "change"; readonly change: ConfigurationChange; }
    | { readonly type: "snapshot"; readonly snapshot: ConfigurationSnapshot; };
