/**
 * The base version of each service: the software version that began all its streams without a record. It is written when
 * a service has none, and replaced once callers can't take up its streams any more.
 */
import type { Milliseconds, ServiceName, SoftwareVersion } from "@verbenaspring/model";
import { liveMembers } from "./members.js";
import type { RoutingConfiguration } from "./routingConfiguration.js";
import type { GatewayState } from "./state.js";
import type { StreamOrigin } from "./streamVersions.js";
import type { Transaction } from "./transaction.js";

/** The shortest time between two writes of base versions. */
const writeInterval: Milliseconds = 1_000;
/** How long callers may go on taking up a stream, as a multiple of its route's timeout. */
const lifetimeFactor = 2;
const lifetimeMargin: Milliseconds = 2_000;

/** Follows which versions are in service, and distrusts a base version that was out of service for long. */
export function followVersions({ state, now }: Transaction, services: readonly ServiceName[]): void {
    const { streamRegister, startedAt = now } = state;
    for (const service of services) {
        const seenAt = streamRegister.versionsSeenAt.get(service)
            ?? new Map<SoftwareVersion | undefined, Milliseconds>();
        streamRegister.versionsSeenAt.set(service, seenAt);
        const lifetime = streamLifetime(state.configuration, service);
        const versions = registeredVersions(state, service);
        const base = streamRegister.baseVersions?.get(service);
        const wasAway = base !== undefined && now - (seenAt.get(base.softwareVersion) ?? startedAt) > lifetime / 2;
        // Another gateway may have replaced a base version that was away for long.
        if (wasAway && versions.includes(base.softwareVersion)) {
            streamRegister.baseVersions = undefined;
        }
        versions.forEach(version => seenAt.set(version, now));
        [...seenAt].filter(([, at]) => now - at > lifetimeFactor * lifetime).forEach(([version]) =>
            seenAt.delete(version)
        );
    }
}

/** The versions of the registered servers of a service, one for each server. */
export function registeredVersions(state: GatewayState, service: ServiceName): (SoftwareVersion | undefined)[] {
    return (state.serversByService.get(service) ?? []).flatMap(id => {
        const server = state.servers.get(id);
        return server === undefined || server.removedAt !== undefined ? [] : [server.record.softwareVersion];
    });
}

/** Writes the base version of a service that needs another one, if this gateway is the one that writes them. */
export function replaceBases(transaction: Transaction, services: readonly ServiceName[]): void {
    const { isReading, isWritingBase, nextWriteAt } = transaction.state.streamRegister;
    if (!isReading && !isWritingBase && transaction.now >= nextWriteAt && isWriter(transaction)) {
        services.some(service => replaceBase(transaction, service));
    }
}

/** Handles the end of a write. */
export function endBaseWrite({ state: { streamRegister }, now }: Transaction): void {
    streamRegister.isWritingBase = false;
    streamRegister.nextWriteAt = now + writeInterval;
}

/** Whether this gateway writes base versions: it has the lowest address of all live ones. */
function isWriter({ state, now }: Transaction): boolean {
    return liveMembers(state, now).every(({ record }) => state.options.peerAddress < record.address);
}

/** The longest age of a view of the servers from which a version is taken to be out of service. */
const maximumViewAge: Milliseconds = 2_000;

/**
 * Writes the base version of a service that has none, or none that was registered in the lifetime of a stream. Returns
 * whether it does.
 */
function replaceBase({ state, now, effects }: Transaction, service: ServiceName): boolean {
    const { streamRegister, startedAt, followers: { backendServers } } = state;
    const base = streamRegister.baseVersions?.get(service);
    const seenAt = streamRegister.versionsSeenAt.get(service);
    const commonest = commonestVersion(state, service);
    if (commonest === undefined || now - (backendServers.freshAsOf ?? -Infinity) > maximumViewAge) {
        return false;
    }
    // A version that was pruned has not been registered since this gateway started, or for long.
    const baseSeenAt = base === undefined ? -Infinity : seenAt?.get(base.softwareVersion) ?? startedAt ?? now;
    if (now - baseSeenAt <= streamLifetime(state.configuration, service)) {
        return false;
    }
    streamRegister.isWritingBase = true;
    const baseVersion = { service, softwareVersion: commonest.softwareVersion };
    effects.push({
        kind: "callStreamRegister",
        call: { kind: "writeBase", baseVersion, at: streamRegister.baseEnd },
    });
    return true;
}

/** The version of most registered servers of a service; undefined if there are none. */
function commonestVersion(state: GatewayState, service: ServiceName): StreamOrigin | undefined {
    const counts = new Map<SoftwareVersion | undefined, number>();
    registeredVersions(state, service).forEach(version => counts.set(version, (counts.get(version) ?? 0) + 1));
    const [commonest] = [...counts].sort(([, one], [, other]) => other - one);
    return commonest === undefined ? undefined : { softwareVersion: commonest[0] };
}

const lifetimes = new WeakMap<RoutingConfiguration, ReadonlyMap<ServiceName, Milliseconds>>();

/** How long callers may take up streams of a service: a while longer than its routes' timeouts. */
export function streamLifetime(configuration: RoutingConfiguration | undefined, service: ServiceName): Milliseconds {
    return configuration === undefined ? 0 : lifetimesOf(configuration).get(service) ?? 0;
}

/** The services whose streams callers may take up. */
export function resumableServices(configuration: RoutingConfiguration | undefined): ServiceName[] {
    return configuration === undefined ? [] : [...lifetimesOf(configuration).keys()];
}

function lifetimesOf(configuration: RoutingConfiguration): ReadonlyMap<ServiceName, Milliseconds> {
    const known = lifetimes.get(configuration) ?? computeLifetimes(configuration);
    lifetimes.set(configuration, known);
    return known;
}

function computeLifetimes({ routesByHost }: RoutingConfiguration): ReadonlyMap<ServiceName, Milliseconds> {
    const result = new Map<ServiceName, Milliseconds>();
    for (const { canResume, timeout, targets } of [...routesByHost.values()].flat()) {
        if (canResume) {
            const lifetime = lifetimeFactor * timeout + lifetimeMargin;
            targets.forEach(({ service }) => result.set(service, Math.max(lifetime, result.get(service) ?? 0)));
        }
    }
    return result;
}
