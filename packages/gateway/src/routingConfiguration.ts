/**
 * The configuration that a gateway serves: routes, services, organisations and limits, as one immutable value.
 */
import type { ApiKey, Milliseconds, OrganisationId, RouteName, ServiceName } from "@verbenaspring/model";

/** A service that a route leads to, with its share of the route's requests. */
export interface WeightedService {
    readonly service: ServiceName;
    /** Relative to the sum of the route's weights. */
    readonly weight: number;
}

/** How requests of a route are treated. */
export interface Route {
    readonly name: RouteName;
    /** In lower case, without a port. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Whether the answer is a series of events. */
    readonly isStream: boolean;
    /** Whether another run may go on after the last event that the caller has. */
    readonly canResume: boolean;
    /** The longest time that a request is kept waiting for its final answer. */
    readonly timeout: Milliseconds;
    /** The time within which an answer, or a stream's first event, counts as on time. */
    readonly targetLatency: Milliseconds;
    /** How many backend servers one request may run on. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
    readonly targets: readonly WeightedService[];
}

/** What the engines of a service can do. */
export interface EngineCapabilities {
    /** Tokens of prompts and outputs that one engine's memory holds. */
    readonly memoryTokens: number;
    /** Whether a run's memory can be copied to another engine as it grows. */
    readonly canReplicate: boolean;
    /** Whether a run's memory can be moved to another engine on request. */
    readonly canMigrate: boolean;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
}

/** A group of backend servers that do the same work. */
export interface Service {
    readonly name: ServiceName;
    /** Absent for plain services. */
    readonly engine: EngineCapabilities | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** An organisation, as found by one of its keys. */
export interface Organisation {
    readonly id: OrganisationId;
    /** Takes precedence over the route's priority. */
    readonly priority: number | undefined;
}

/** One version of the configuration. */
export interface RoutingConfiguration {
    readonly version: number;
    /** Routes by host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<ServiceName, Service>;
    /** Empty where no key is asked for. */
    readonly organisations: ReadonlyMap<ApiKey, Organisation>;
    readonly limits: CallerLimits;
}

/**
 * Groups routes by host, the longest prefix first.
 *
 * @example
 * const routesByHost = indexRoutes(routes);
 */
export function indexRoutes(routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
        const ofHost = byHost.get(route.host) ?? [];
        byHost.set(route.host, ofHost);
        ofHost.push(route);
    }
    byHost.forEach(ofHost => ofHost.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length));
    return byHost;
}

/**
 * The route of the host with the longest prefix that begins the path, or undefined.
 *
 * @param path without a query
 * @example
 * const route = findRoute(configuration, "clinic.example", "/plans/7");
 */
export function findRoute(configuration: RoutingConfiguration, host: string, path: string): Route | undefined {
    return configuration.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
}
