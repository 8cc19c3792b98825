/**
 * Branded identifier types. At run time an identifier is a plain string; the brand prevents passing one kind of
 * identifier where another is expected.
 */
declare const brand: unique symbol;

type Branded<Name extends string> = string & { readonly [brand]: Name; };

/** One run of an entry process. A replacement of the entry has a new incarnation. */
export type EntryIncarnation = Branded<"EntryIncarnation">;
/** One run of a sidecar process. A replacement of the sidecar has a new incarnation. */
export type SidecarIncarnation = Branded<"SidecarIncarnation">;
/** The stable name of a backend server, from the instance list. */
export type BackendServerId = Branded<"BackendServerId">;
/** One request of one caller. The id is assigned by the entry that received it. */
export type RequestId = Branded<"RequestId">;
/** One attempt to run a request at one sidecar. */
export type AttemptId = Branded<"AttemptId">;
/** The id that a caller assigned to one request. If the caller repeats the request, the repeat has a new id. */
export type CallerAttemptId = Branded<"CallerAttemptId">;
/** The IP address and port at which a gateway serves the other gateways. */
export type PeerAddress = Branded<"PeerAddress">;
/** One run of a gateway process. */
export type GatewayIncarnation = Branded<"GatewayIncarnation">;
/** The secret that authenticates the callers of an organisation. */
export type ApiKey = Branded<"ApiKey">;
/** The id of an event of a stream, as its server writes it. */
export type EventId = Branded<"EventId">;
/** One run at an engine. The id has 128 random bits, so that callers can't guess those of others. */
export type GenerationId = Branded<"GenerationId">;
/** A customer whose callers share one bearer key. */
export type OrganisationId = Branded<"OrganisationId">;
/** The name of a service: a group of backend servers that do the same work. */
export type ServiceName = Branded<"ServiceName">;
/** The name of a route; callers send it as `model`. */
export type RouteName = Branded<"RouteName">;
/**
 * One change of the configuration. The id is assigned by the writer, which recognises its own record in the log by it.
 */
export type ChangeId = Branded<"ChangeId">;
/** One claim of a request key. The id is assigned by the writer. */
export type ClaimId = Branded<"ClaimId">;
/** The digest of an organisation and its `Idempotency-Key`. */
export type KeyDigest = Branded<"KeyDigest">;
/** A part of a prompt that several requests may share. */
export type PromptPartId = Branded<"PromptPartId">;
/** A version of the software of a service's backend servers. */
export type SoftwareVersion = Branded<"SoftwareVersion">;
/** A set of instances that fail together. */
export type FailureDomain = Branded<"FailureDomain">;

/**
 * Brands a string as an identifier of the type that the context expects.
 *
 * @example
 * const service: ServiceName = identifier("booking-assistant");
 */
export function identifier<Id extends string>(text: string): Id {
    return text as Id;
}

/** The position of a record in a stream of the platform's log. The first record has offset 0. */
export type LogOffset = number;

/**
 * A duration or a point in time, in milliseconds. The origin is arbitrary, so only differences of points are
 * meaningful.
 */
export type Milliseconds = number;
/** The digest of what a request asks for: the same for each repeat of it with the same host, path and body. */
export type ContentDigest = Branded<"ContentDigest">;
/** All requests of one organisation that ask for the same. */
export type RepeatedRequestId = Branded<"RepeatedRequestId">;
/** What requests have in common that may crash servers: a part of their prompts, or all of it. */
export type CrashSuspectId = PromptPartId | RepeatedRequestId;
