/**
 * What the gateways have at work at each backend server, and the views from which placement chooses.
 */
import {
    type PlacementView,
    type ReplicaHostView,
    type ServerHealth,
    withoutEjected,
} from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { foreseenOutput } from "./messages.js";
import { peerLoad } from "./peers.js";
import type { EngineCapabilities } from "./routingConfiguration.js";
import type { Attempt, GatewayRequest, GatewayState, ServerLoad } from "./state.js";

/** How long a server whose registration lapsed is still used where the service has no other. */
const lapsedUse: Milliseconds = 1_500;
/** Runs that outgrow what was foreseen are counted anew in steps of so many tokens. */
const growthStep = 64;
/** The part of its foreseen output that a run holds on average over its time. */
const averageOutputPart = 0.5;

/** The servers of a service that take new work, without those that are left out for their failures. */
export function usableServers(state: GatewayState, service: ServiceName, now: Milliseconds): readonly BackendServer[] {
    const ids = state.serversByService.get(service) ?? [];
    const known = ids.flatMap(id => state.servers.get(id) ?? []);
    const ready = known.filter(server => server.leavingSince === undefined);
    const usable = ready.length > 0 ? ready : known.filter(server => hasJustLapsed(server, now));
    return withoutEjected(usable, ({ record }) => state.health.get(record.id), now);
}

/** The servers that could take over what is at work at one, for a copy or a move. */
export function otherServers(state: GatewayState, { record }: BackendServer, now: Milliseconds): BackendServer[] {
    return usableServers(state, record.service, now).filter(other => other.record.id !== record.id);
}

/** Whether the registration went without an announced stop, as it does when the store was away. */
function hasJustLapsed({ record, removedAt }: BackendServer, now: Milliseconds): boolean {
    return removedAt !== undefined && !record.isDraining && now - removedAt <= lapsedUse;
}

/** The server as placement sees it. */
export function placementView(state: GatewayState, server: BackendServer, now: Milliseconds): PlacementView {
    const { id, slots, service, failureDomain } = server.record;
    const health: ServerHealth | undefined = state.health.get(id);
    const load = totalLoad(state, id, now);
    const engine = engineOf(state, service);
    return {
        load: load.inProgress / Math.max(1, slots),
        memoryLoad: engine === undefined ? 0 : load.memoryTokens / engine.memoryTokens,
        waitingTokens: load.waitingTokens,
        failureShare: health?.failureShare ?? 0,
        responseTime: engine === undefined ? health?.responseTime : undefined,
        isWarmingUp: now < server.warmAt,
        isSameFailureDomain: failureDomain === state.options.failureDomain,
    };
}

/** The server as a holder of copies, seen from the server whose runs it would copy. */
export function copyView(
    state: GatewayState,
    server: BackendServer,
    origin: BackendServer,
    now: Milliseconds,
): ReplicaHostView {
    return {
        load: memoryLoad(state, server, now),
        isSameFailureDomain: server.record.failureDomain === origin.record.failureDomain,
    };
}

/** The share of an engine's memory that is in use, as far as the gateways know. */
export function memoryLoad(state: GatewayState, { record }: BackendServer, now: Milliseconds): number {
    const engine = engineOf(state, record.service);
    return engine === undefined ? 0 : totalLoad(state, record.id, now).memoryTokens / engine.memoryTokens;
}

/** Requests that all live gateways have at work at a server. */
export function requestsAt(state: GatewayState, id: BackendServerId, now: Milliseconds): number {
    return totalLoad(state, id, now).inProgress;
}

/** What all live gateways have at work at a server. */
function totalLoad(state: GatewayState, id: BackendServerId, now: Milliseconds): ServerLoad {
    const own = state.loads.get(id);
    const others = peerLoad(state, id, now);
    return {
        inProgress: others.inProgress + (own?.inProgress ?? 0),
        memoryTokens: others.memoryTokens + (own?.memoryTokens ?? 0),
        waitingTokens: others.waitingTokens + (own?.waitingTokens ?? 0),
    };
}

/** What the engines of a service can do; undefined for plain services. */
export function engineOf(state: GatewayState, service: ServiceName): EngineCapabilities | undefined {
    return state.configuration?.services.get(service)?.engine;
}

/** Tokens that a run of the request holds on average: its prompt, and a part of its foreseen output. */
export function expectedMemory({ head }: GatewayRequest): number {
    return Math.round(head.promptTokens + averageOutputPart * foreseenOutput(head));
}

/** Counts an attempt at its server, and its copy at the server that keeps it. */
export function addLoad(state: GatewayState, attempt: Attempt): void {
    const { memoryTokens, waitingTokens } = attempt;
    changeLoad(state, attempt.server.record.id, { inProgress: 1, memoryTokens, waitingTokens });
    if (attempt.replica !== undefined) {
        changeLoad(state, attempt.replica.record.id, { inProgress: 0, memoryTokens, waitingTokens: 0 });
    }
}

/** Takes an attempt that ended from the counts. */
export function removeLoad(state: GatewayState, attempt: Attempt): void {
    const { memoryTokens, waitingTokens } = attempt;
    changeLoad(state, attempt.server.record.id, {
        inProgress: -1,
        memoryTokens: -memoryTokens,
        waitingTokens: -waitingTokens,
    });
    if (attempt.replica !== undefined) {
        changeLoad(state, attempt.replica.record.id, {
            inProgress: 0,
            memoryTokens: -memoryTokens,
            waitingTokens: 0,
        });
    }
}

/** Counts events of a run: its prompt waits no longer, and its memory may have outgrown what was foreseen. */
export function noteEventsLoad(state: GatewayState, request: GatewayRequest, attempt: Attempt, events: number): void {
    const tokensPerEvent = engineOf(state, request.service)?.tokensPerEvent ?? 1;
    const held = request.head.promptTokens + tokensPerEvent * (attempt.events + events);
    const excess = held - attempt.memoryTokens;
    const growth = excess >= growthStep ? excess : 0;
    const waitingTokens = -attempt.waitingTokens;
    if (growth === 0 && waitingTokens === 0) {
        return;
    }
    attempt.memoryTokens += growth;
    attempt.waitingTokens = 0;
    changeLoad(state, attempt.server.record.id, { inProgress: 0, memoryTokens: growth, waitingTokens });
    if (attempt.replica !== undefined) {
        changeLoad(state, attempt.replica.record.id, { inProgress: 0, memoryTokens: growth, waitingTokens: 0 });
    }
}

function changeLoad(state: GatewayState, id: BackendServerId, change: ServerLoad): void {
    const load: ServerLoad = state.loads.get(id) ?? { inProgress: 0, memoryTokens: 0, waitingTokens: 0 };
    load.inProgress += change.inProgress;
    load.memoryTokens += change.memoryTokens;
    load.waitingTokens += change.waitingTokens;
    if (change.memoryTokens !== 0 || change.waitingTokens !== 0) {
        state.loadsVersion++;
    }
    state.loads.set(id, load);
    if (load.inProgress === 0 && load.memoryTokens === 0) {
        state.loads.delete(id);
    }
}
