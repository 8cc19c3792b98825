/**
 * The configurations that were in force while streams may have begun that callers still take up. A stream without a record
 * may have begun at any service to which one of them led its request.
 */
import type { Milliseconds, ServiceName } from "@verbenaspring/model";
import { resumableServices, streamLifetime } from "./baseVersions.js";
import type { RequestHead } from "./messages.js";
import { findRoute, pathOf, type RoutingConfiguration } from "./routingConfiguration.js";
import type { GatewayState } from "./state.js";
import type { Transaction } from "./transaction.js";

/** A configuration that another one has replaced. */
export interface FormerConfiguration {
    readonly configuration: RoutingConfiguration;
    /** Until when streams that began under it may be taken up. */
    readonly until: Milliseconds;
}

/** Beyond this the oldest is forgotten. */
const maximumFormer = 8;

/** Records that a configuration was replaced, if streams that began under it may be taken up. */
export function recordFormer({ state, now }: Transaction, configuration: RoutingConfiguration | undefined): void {
    const services = resumableServices(configuration);
    if (configuration === undefined || services.length === 0) {
        return;
    }
    const lifetime = Math.max(...services.map(service => streamLifetime(configuration, service)));
    const former = [...state.formerConfigurations, { configuration, until: now + lifetime }];
    state.formerConfigurations = former.filter(({ until }) => now < until).slice(-maximumFormer);
}

/** Whether a stream may have begun at another service than the one to which its request is led now. */
export function mayHaveBegunElsewhere(
    { formerConfigurations }: GatewayState,
    { host, target }: RequestHead,
    service: ServiceName,
    now: Milliseconds,
): boolean {
    return formerConfigurations.some(({ configuration, until }) => {
        const route = findRoute(configuration, host, pathOf(target));
        return now < until && route?.canResume === true && route.targets.some(other => other.service !== service);
    });
}
