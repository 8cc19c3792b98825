/**
 * Branded identifiers. An identifier is a string at run time; the brand keeps one kind from being passed for another.
 */
declare const brand: unique symbol;

type Branded<Name extends string> = string & { readonly [brand]: Name; };

/** One life of an entry process. A replaced entry has another incarnation. */
export type EntryIncarnation = Branded<"EntryIncarnation">;
/** One life of a sidecar process. A replaced sidecar has another incarnation. */
export type SidecarIncarnation = Branded<"SidecarIncarnation">;
/** The stable name of a backend server, as the instance list gives it. */
export type BackendServerId = Branded<"BackendServerId">;
/** One request of one caller, named by the entry that took it. */
export type RequestId = Branded<"RequestId">;
/** One try to have a request run by one sidecar. */
export type AttemptId = Branded<"AttemptId">;
/** The id that a caller gave to one request; each of its own repeats has another. */
export type CallerAttemptId = Branded<"CallerAttemptId">;
/** Where a gateway answers the others: IP number and port. */
export type PeerAddress = Branded<"PeerAddress">;
/** One life of a gateway process. */
export type GatewayIncarnation = Branded<"GatewayIncarnation">;
/** The secret by which an organisation's callers are known. */
export type ApiKey = Branded<"ApiKey">;
/** One run of an engine; random and 128 bits long, so that no caller can guess another's. */
export type GenerationId = Branded<"GenerationId">;
/** A customer whose callers hold one bearer key. */
export type OrganisationId = Branded<"OrganisationId">;
/** The name of a service: a group of backend servers that do the same work. */
export type ServiceName = Branded<"ServiceName">;
/** The name of a route; callers give it as `model`. */
export type RouteName = Branded<"RouteName">;
/** One change of configuration, named by its writer so that it can find its own record again. */
export type ChangeId = Branded<"ChangeId">;
/** One claim of a request key, named by its writer. */
export type ClaimId = Branded<"ClaimId">;
/** The digest of an organisation and its `Idempotency-Key`. */
export type KeyDigest = Branded<"KeyDigest">;
/** A set of instances that fail together. */
export type FailureDomain = Branded<"FailureDomain">;

/**
 * Marks a string as an identifier of the kind that the caller's type asks for.
 *
 * @example
 * const service: ServiceName = identifier("booking-assistant");
 */
export function identifier<Id extends string>(text: string): Id {
    return text as Id;
}

/** A position in a stream of the platform's log. The first record has offset 0. */
export type LogOffset = number;

/** A point in time, in milliseconds. Only differences are meaningful. */
export type Milliseconds = number;
