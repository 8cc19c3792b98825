/**
 * The routing configuration of a gateway: routes, services, organisations and limits, as one immutable value.
 */
import type { ApiKey, Milliseconds, OrganisationId, RouteName, ServiceName } from "@verbenaspring/model";

/** A service that a route sends requests to, and its share of them. */
export interface WeightedService {
    readonly service: ServiceName;
    /** Relative to the sum of the route's weights. */
    readonly weight: number;
}

/** A route, and how its requests are handled. */
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
    /** Whether a new run may continue a stream after the last event that the caller has. */
    readonly canResume: boolean;
    /** The longest time until a request gets its final answer. */
    readonly timeout: Milliseconds;
    /** The time within which an answer, or the first event of a stream, is on time. */
    readonly targetLatency: Milliseconds;
    /** The number of attempts that may run one request. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests need no API key. */
    readonly isPublic: boolean;
    readonly targets: readonly WeightedService[];
}

/** The capabilities of a service's engines. */
export interface EngineCapabilities {
    /** Tokens of prompts and outputs that one engine's memory holds. */
    readonly memoryTokens: number;
    /** Whether a run's memory can be replicated to another engine as it grows. */
    readonly canReplicate: boolean;
    /** Whether a run can be migrated to another engine on request. */
    readonly canMigrate: boolean;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
    /**
     * Tokens of a run's memory that one engine transfers to another in a millisecond; Infinity, which allows for no time, if not
     * known.
     */
    readonly transferRate: number;
    /** How long an engine keeps a replica after its last update. */
    readonly replicaLifetime: Milliseconds;
}

/** How the servers of a service receive requests while they are cold. */
export interface ColdStart {
    /** Requests a second from all gateways together; above 0. */
    readonly perSecond: number;
    /** How long a server is cold after its start. */
    readonly duration: Milliseconds;
}

/** A group of backend servers that do the same work. */
export interface Service {
    readonly name: ServiceName;
    /** Absent for plain services. */
    readonly engine: EngineCapabilities | undefined;
    /** The path at which its servers answer health checks; absent if the configuration names none. */
    readonly healthCheckPath?: string | undefined;
    /** Absent if its cold servers are not limited. */
    readonly coldStart?: ColdStart | undefined;
}

/** Limits on the size of requests, and on the time that callers may take. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeout: Milliseconds;
    readonly idleTimeout: Milliseconds;
}

/** An organisation, as found by one of its API keys. */
export interface Organisation {
    readonly id: OrganisationId;
    /** Overrides the priority of the route. */
    readonly priority: number | undefined;
}

/** One version of the configuration. */
export interface RoutingConfiguration {
    readonly version: number;
    /** Routes by host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    readonly services: ReadonlyMap<ServiceName, Service>;
    /** Undefined if no route requires an API key. An empty map lets no key through: the last one may have been revoked. */
    readonly organisations: ReadonlyMap<ApiKey, Organisation> | undefined;
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
        const hostRoutes = byHost.get(route.host) ?? [];
        byHost.set(route.host, hostRoutes);
        hostRoutes.push(route);
    }
    byHost.forEach(hostRoutes => hostRoutes.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length));
    return byHost;
}

/**
 * Finds the route of the host with the longest prefix of the path, or undefined if there is none.
 *
 * @param path without a query
 * @example
 * const route = findRoute(configuration, "clinic.example", "/plans/7");
 */
export function findRoute(configuration: RoutingConfiguration, host: string, path: string): Route | undefined {
    return configuration.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
}

/** The path of a request's target, without its query. */
export function pathOf(target: string): string {
    return target.split("?", 1)[0];
}

const highestPriorities = new WeakMap<RoutingConfiguration, ReadonlyMap<ServiceName, number>>();

/**
 * The highest priority of the routes to a service; undefined if no route leads to it.
 *
 * @example
 * const isMostUrgent = route.priority === highestPriority(configuration, service);
 */
export function highestPriority(configuration: RoutingConfiguration, service: ServiceName): number | undefined {
    const priorities = highestPriorities.get(configuration) ?? indexPriorities(configuration);
    highestPriorities.set(configuration, priorities);
    return priorities.get(service);
}

function indexPriorities({ routesByHost }: RoutingConfiguration): ReadonlyMap<ServiceName, number> {
    const priorities = new Map<ServiceName, number>();
    for (const { targets, priority } of [...routesByHost.values()].flat()) {
        targets.forEach(({ service }) =>
            priorities.set(service, Math.min(priority, priorities.get(service) ?? priority))
        );
    }
    return priorities;
}
