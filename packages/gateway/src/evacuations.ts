/**
 * Evacuations of failure domains, which the operator requests. While a failure domain is evacuated, its servers get no
 * request. The state follows the operator's topic: nothing else starts or ends an evacuation.
 */
import type { FailureDomain, LogOffset, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { BackendRecord, BackendServer } from "./backendServers.js";
import { markReturningDomain } from "./coldServers.js";
import type { EvacuationRecord } from "./event.js";
import type { GatewayState } from "./state.js";
import { canContinue, type StreamOrigin } from "./streamVersions.js";
import { logDecision, type Transaction } from "./transaction.js";

/** An evacuation that is in force. */
export interface Evacuation {
    /** The key of its record in the operator's topic. */
    readonly key: string;
    /** When this gateway learned of it. */
    readonly since: Milliseconds;
    /** The offset of the newest record that requests it. */
    readonly offset: LogOffset;
}

/** The evacuated failure domains. Owned and changed by the event loop. */
export type Evacuations = Map<FailureDomain, Evacuation>;

/**
 * Applies a record that is newer than the known one of its key. A repeated request and the withdrawal of an evacuation
 * that is not in force change nothing else.
 *
 * @example
 * applyEvacuation(transaction, record, item.offset);
 */
export function applyEvacuation(transaction: Transaction, record: EvacuationRecord, offset: LogOffset): void {
    const { state: { evacuations }, now } = transaction;
    const { key, failureDomain, isRequested } = record;
    const known = evacuations.get(failureDomain);
    if (!isRequested) {
        return known === undefined ? undefined : endEvacuation(transaction, failureDomain, offset);
    }
    evacuations.set(failureDomain, { key, since: known?.since ?? now, offset });
    if (known === undefined) {
        logDecision(transaction, "info", "evacuation_started", {
            failureDomain,
            offset,
            ...countAffected(transaction.state, failureDomain),
        });
    }
}

/** Ends an evacuation that was withdrawn. This is the only place where a failure domain returns to service. */
function endEvacuation(transaction: Transaction, failureDomain: FailureDomain, offset: LogOffset): void {
    const { state, now } = transaction;
    const since = state.evacuations.get(failureDomain)?.since ?? now;
    state.evacuations.delete(failureDomain);
    markReturningDomain(transaction, failureDomain);
    logDecision(transaction, "info", "evacuation_ended", {
        failureDomain,
        offset,
        ...countAffected(state, failureDomain),
        duration: Math.round(now - since),
    });
}

/** The servers of a failure domain, and the streams of this gateway that run there. */
function countAffected(
    { servers, requests }: GatewayState,
    failureDomain: FailureDomain,
): { readonly servers: number; readonly streams: number; } {
    const isThere = ({ record }: BackendServer): boolean => record.failureDomain === failureDomain;
    const streams = [...requests.values()].filter(({ attempt, route }) =>
        route.isStream && attempt !== undefined && isThere(attempt.server)
    );
    return { servers: [...servers.values()].filter(isThere).length, streams: streams.length };
}

/**
 * Whether a server is in an evacuated failure domain, so that it gets no request.
 *
 * @example
 * const remaining = servers.filter(({ record }) => !isEvacuated(state, record));
 */
export function isEvacuated(
    { evacuations }: GatewayState,
    { failureDomain }: Pick<BackendRecord, "failureDomain">,
): boolean {
    return evacuations.has(failureDomain);
}

/**
 * Whether evacuations leave a service no server: it has servers that don't leave, and all of them are in evacuated failure
 * domains.
 *
 * @param origin where the stream that a server is to continue began; undefined for work that has not begun
 * @example
 * const hasNone = isServiceEvacuated(state, request.service, request.origin);
 */
export function isServiceEvacuated(
    state: GatewayState,
    service: ServiceName,
    origin: StreamOrigin | undefined,
): boolean {
    if (state.evacuations.size === 0) {
        return false;
    }
    const staying = (state.serversByService.get(service) ?? [])
        .flatMap(id => state.servers.get(id) ?? [])
        .filter(({ record, leavingSince }) => leavingSince === undefined && canContinue(record, origin));
    return staying.length > 0 && staying.every(({ record }) => isEvacuated(state, record));
}
