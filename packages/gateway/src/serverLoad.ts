/**
 * What the gateway has at work at each backend server, and the views from which placement chooses.
 */
import { type CopyView, type PlacementView, type ServerHealth, withoutEjected } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import type { Attempt, GatewayRequest, GatewayState, ServerLoad } from "./state.js";

/** How long a server whose registration lapsed is still used where the service has no other. */
const lapsedUse: Milliseconds = 1_500;

/** The servers of a service that take new work, without those that are left out for their failures. */
export function usableServers(state: GatewayState, service: ServiceName, now: Milliseconds): readonly BackendServer[] {
    const ids = state.serversByService.get(service) ?? [];
    const known = ids.flatMap(id => state.servers.get(id) ?? []);
    const ready = known.filter(server => server.leavingSince === undefined);
    const usable = ready.length > 0 ? ready : known.filter(server => hasJustLapsed(server, now));
    return withoutEjected(usable, ({ record }) => state.health.get(record.id), now);
}

/** Whether the registration went without an announced stop, as it does when the store was away. */
function hasJustLapsed({ record, removedAt }: BackendServer, now: Milliseconds): boolean {
    return removedAt !== undefined && !record.isDraining && now - removedAt <= lapsedUse;
}

/** The server as placement sees it. */
export function placementView(state: GatewayState, server: BackendServer, now: Milliseconds): PlacementView {
    const health: ServerHealth | undefined = state.health.get(server.record.id);
    return {
        load: loadShare(state, server),
        failureShare: health?.failureShare ?? 0,
        responseTime: health?.responseTime,
        isWarmingUp: now < server.warmAt,
        isNear: server.record.failureDomain === state.options.failureDomain,
    };
}

/** The server as a holder of copies, seen from the server whose runs it would copy. */
export function copyView(state: GatewayState, server: BackendServer, origin: BackendServer): CopyView {
    return {
        load: loadShare(state, server),
        isNear: server.record.failureDomain === origin.record.failureDomain,
    };
}

/** What is at work at the server, as a share of its memory or its slots, whichever is fuller. */
function loadShare(state: GatewayState, { record }: BackendServer): number {
    const load = state.loads.get(record.id);
    if (load === undefined) {
        return 0;
    }
    const slotShare = load.inProgress / Math.max(1, record.slots);
    const memory = memoryOf(state, record.service);
    return memory === undefined ? slotShare : Math.max(slotShare, load.tokens / memory);
}

/** Tokens that one engine of the service holds; undefined for plain services. */
export function memoryOf(state: GatewayState, service: ServiceName): number | undefined {
    return state.configuration?.services.get(service)?.engine?.memoryTokens;
}

/** Tokens that a run of the request needs in memory: its prompt, and its output as far as it is foreseen. */
export function expectedTokens({ head }: GatewayRequest): number {
    return head.promptTokens + Math.min(head.maximumTokens, head.estimatedTokens ?? head.maximumTokens);
}

/** Counts an attempt at its server, and its copy at the server that keeps it. */
export function addLoad(state: GatewayState, request: GatewayRequest, attempt: Attempt): void {
    changeLoad(state, attempt.server.record.id, 1, expectedTokens(request));
    if (attempt.replica !== undefined) {
        changeLoad(state, attempt.replica.record.id, 0, expectedTokens(request));
    }
}

/** Takes an attempt that ended from the counts. */
export function removeLoad(state: GatewayState, request: GatewayRequest, attempt: Attempt): void {
    changeLoad(state, attempt.server.record.id, -1, -expectedTokens(request));
    if (attempt.replica !== undefined) {
        changeLoad(state, attempt.replica.record.id, 0, -expectedTokens(request));
    }
}

function changeLoad(state: GatewayState, id: BackendServerId, inProgress: number, tokens: number): void {
    const load: ServerLoad = state.loads.get(id) ?? { inProgress: 0, tokens: 0 };
    load.inProgress += inProgress;
    load.tokens += tokens;
    state.loads.set(id, load);
    if (load.inProgress === 0 && load.tokens === 0) {
        state.loads.delete(id);
    }
}
