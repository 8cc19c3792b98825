/**
 * The load of all gateways at each backend server, and the views of servers that placement chooses from.
 */
import {
    type CapacityUse,
    type PlacementView,
    type ReplicaHostView,
    type ServerHealth,
    withoutEjected,
} from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { isCold, isWithinColdRate } from "./coldServers.js";
import { isWithinDrainLimit } from "./drainLimit.js";
import type { DecisionFields } from "./effect.js";
import { isEvacuated } from "./evacuations.js";
import { hasGivenNotice } from "./leavingServers.js";
import { memberLoad } from "./members.js";
import { expectedOutput } from "./messages.js";
import { isLimited, isWithinLimit } from "./requestLimits.js";
import type { EngineCapabilities } from "./routingConfiguration.js";
import { isSuperseded } from "./serverIncarnations.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest, GatewayState, ServerLoad } from "./state.js";
import { canContinue, type StreamOrigin } from "./streamVersions.js";

/** How long a server is still used after its registration lapsed, if the service has no other. */
const lapsedGracePeriod: Milliseconds = 1_500;
/**
 * The counted memory of a run that exceeds its forecast is updated in steps of this many tokens, not at every event.
 */
const memoryGrowthStep = 64;
/** The share of its expected output that a run holds in memory, averaged over its duration. */
const averageOutputShare = 0.5;

/**
 * The servers of a service that accept new work and a request now, and are neither ejected nor in an evacuated failure
 * domain.
 *
 * @param origin where the stream that a server is to continue began; undefined for work that has not begun
 */
export function usableServers(
    state: GatewayState,
    service: ServiceName,
    now: Milliseconds,
    origin?: StreamOrigin,
): readonly BackendServer[] {
    const ids = state.serversByService.get(service) ?? [];
    // Evacuated servers are excluded first, so that no fallback uses them.
    const known = ids.flatMap(id => state.servers.get(id) ?? []).filter(({ record }) =>
        canContinue(record, origin) && !isEvacuated(state, record)
    );
    const ready = known.filter(server => server.leavingSince === undefined);
    const usable = ready.length > 0
        ? ready
        : known.filter(server =>
            hasJustLapsed(server, now) && !hasGivenNotice(state, server.record)
            && isWithinDrainLimit(state, server, now)
        );
    const allowed = usable.filter(server => acceptsRequest(state, server, now));
    return withoutEjected(allowed, ({ record }) => state.health.get(record.id), now);
}

/** Whether neither a limit, a pause nor the rate of cold servers forbids to send a request to a server now. */
export function acceptsRequest(state: GatewayState, server: BackendServer, now: Milliseconds): boolean {
    const { id } = server.record;
    return isWithinLimit(state, id, now) && !isPaused(state, id, now) && isWithinColdRate(state, server, now);
}

/**
 * The other usable servers of the same service and software version that are not cold and have no limit: candidates for
 * a replica or a migration.
 */
export function otherServers(state: GatewayState, { record }: BackendServer, now: Milliseconds): BackendServer[] {
    return usableServers(state, record.service, now, record).filter(other =>
        other.record.id !== record.id && !isLimited(state, other.record.id) && !isCold(state, other, now)
    );
}

/** Whether the registration lapsed a moment ago without an announced stop, as happens when the store is unavailable. */
function hasJustLapsed({ record, removedAt }: BackendServer, now: Milliseconds): boolean {
    return removedAt !== undefined && !record.isDraining && now - removedAt <= lapsedGracePeriod;
}

/** The view of a server from which placement chooses. */
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
        isWarmingUp: now < server.warmUpEndsAt,
        isSameFailureDomain: failureDomain === state.options.failureDomain,
    };
}

/**
 * The view of a server as a holder of replicas.
 *
 * @param origin the server of the run that would be replicated
 */
export function replicaView(
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

/** The share of an engine's memory that is in use, by the counts of all live gateways; 0 for plain services. */
export function memoryLoad(state: GatewayState, { record }: BackendServer, now: Milliseconds): number {
    const engine = engineOf(state, record.service);
    return engine === undefined ? 0 : totalLoad(state, record.id, now).memoryTokens / engine.memoryTokens;
}

/** The share of the memory of a service's usable engines that runs hold, without copies; 0 for plain services. */
export function runMemoryLoad(state: GatewayState, service: ServiceName, now: Milliseconds): number {
    const engine = engineOf(state, service);
    const servers = usableServers(state, service, now);
    if (engine === undefined || servers.length === 0) {
        return 0;
    }
    const loads = servers.map(({ record }) => totalLoad(state, record.id, now));
    const runTokens = loads.reduce((sum, load) => sum + load.memoryTokens - load.copiedTokens, 0);
    return runTokens / (servers.length * engine.memoryTokens);
}

/** How much of the memory of a service's usable engines, and of their time for prompts, is in use. */
export function capacityUse(state: GatewayState, service: ServiceName, now: Milliseconds): CapacityUse {
    const servers = usableServers(state, service, now);
    const reading = servers.filter(({ record: { id } }) => totalLoad(state, id, now).waitingTokens > 0);
    return {
        runLoad: runMemoryLoad(state, service, now),
        readingShare: reading.length / Math.max(1, servers.length),
    };
}

/** The number of requests in progress at a server, from all live gateways. */
export function requestsInProgressAt(state: GatewayState, id: BackendServerId, now: Milliseconds): number {
    return totalLoad(state, id, now).inProgress;
}

/** The load of all live gateways at a server. */
function totalLoad(state: GatewayState, id: BackendServerId, now: Milliseconds): ServerLoad {
    const own = state.loads.get(id);
    const others = memberLoad(state, id, now);
    return {
        inProgress: others.inProgress + (own?.inProgress ?? 0),
        memoryTokens: others.memoryTokens + (own?.memoryTokens ?? 0),
        copiedTokens: others.copiedTokens + (own?.copiedTokens ?? 0),
        waitingTokens: others.waitingTokens + (own?.waitingTokens ?? 0),
    };
}

/** The log fields that tell what was known of an engine's load; none for plain services. */
export function loadFields(state: GatewayState, { record }: BackendServer, now: Milliseconds): DecisionFields {
    const engine = engineOf(state, record.service);
    if (engine === undefined) {
        return {};
    }
    const { inProgress, memoryTokens, waitingTokens } = totalLoad(state, record.id, now);
    return {
        serverRuns: inProgress,
        serverMemory: Math.round(100 * memoryTokens / engine.memoryTokens) / 100,
        serverWaitingTokens: waitingTokens,
    };
}

/** The capabilities of a service's engines; undefined for plain services. */
export function engineOf(state: GatewayState, service: ServiceName): EngineCapabilities | undefined {
    return state.configuration?.services.get(service)?.engine;
}

/** Tokens that a run of the request holds in memory on average: its prompt and a share of its expected output. */
export function expectedMemory({ head }: GatewayRequest): number {
    return Math.round(head.promptTokens + averageOutputShare * expectedOutput(head));
}

/** Adds an attempt to the load of its server, and its copies to the loads of the servers that hold them. */
export function addLoad(state: GatewayState, attempt: Attempt): void {
    const { memoryTokens, waitingTokens } = attempt;
    if (engineOf(state, attempt.server.record.service) !== undefined) {
        state.placements++;
    }
    changeLoad(state, attempt.server, { inProgress: 1, memoryTokens, copiedTokens: 0, waitingTokens });
    changeCopies(state, attempt, memoryTokens);
}

/** Subtracts an attempt that ended from the loads. */
export function removeLoad(state: GatewayState, attempt: Attempt): void {
    const { memoryTokens, waitingTokens } = attempt;
    changeLoad(state, attempt.server, {
        inProgress: -1,
        memoryTokens: -memoryTokens,
        copiedTokens: 0,
        waitingTokens: -waitingTokens,
    });
    changeCopies(state, attempt, -memoryTokens);
}

/** Updates the load for new events of a run: its prompt was processed, and its memory may exceed the forecast. */
export function recordEventLoad(state: GatewayState, request: GatewayRequest, attempt: Attempt, events: number): void {
    const tokensPerEvent = engineOf(state, request.service)?.tokensPerEvent ?? 1;
    const tokens = request.head.promptTokens + tokensPerEvent * (attempt.events + events);
    const excess = tokens - attempt.memoryTokens;
    const growth = excess >= memoryGrowthStep ? excess : 0;
    const waitingTokens = -attempt.waitingTokens;
    if (growth === 0 && waitingTokens === 0) {
        return;
    }
    attempt.memoryTokens += growth;
    attempt.waitingTokens = 0;
    changeLoad(state, attempt.server, {
        inProgress: 0,
        memoryTokens: growth,
        copiedTokens: 0,
        waitingTokens,
    });
    changeCopies(state, attempt, growth);
}

/**
 * Starts or ends a migration in the loads: from its start on, the target holds the memory of the run. Other gateways
 * are told at once, since the streams of a server that leaves are all migrated at the same time.
 *
 * @param target undefined when the migration has ended
 */
export function setMigrationTarget(state: GatewayState, attempt: Attempt, target: BackendServer | undefined): void {
    if (attempt.migrationTarget !== undefined) {
        changeCopy(state, attempt.migrationTarget, -attempt.memoryTokens);
    }
    attempt.migrationTarget = target;
    if (target !== undefined) {
        changeCopy(state, target, attempt.memoryTokens);
        state.placements++;
    }
}

/**
 * Counts the load of this gateway's attempts at a server again, when a new incarnation of it is registered: runs and
 * copies of an earlier one no longer count.
 */
export function recountLoad(state: GatewayState, id: BackendServerId): void {
    if (state.loads.delete(id)) {
        state.loadsVersion++;
    }
    for (const { attempt } of state.attempts.values()) {
        if (attempt === undefined) {
            continue;
        }
        const { server, replica, migrationTarget, memoryTokens, waitingTokens } = attempt;
        if (server.record.id === id) {
            changeLoad(state, server, { inProgress: 1, memoryTokens, copiedTokens: 0, waitingTokens });
        }
        for (const holder of [replica, migrationTarget]) {
            if (holder?.record.id === id) {
                changeCopy(state, holder, memoryTokens);
            }
        }
    }
}

function changeCopies(state: GatewayState, { replica, migrationTarget }: Attempt, memoryTokens: number): void {
    for (const holder of [replica, migrationTarget]) {
        if (holder !== undefined) {
            changeCopy(state, holder, memoryTokens);
        }
    }
}

function changeCopy(state: GatewayState, holder: BackendServer, memoryTokens: number): void {
    changeLoad(state, holder, {
        inProgress: 0,
        memoryTokens,
        copiedTokens: memoryTokens,
        waitingTokens: 0,
    });
}

/** Changes the load at a server. That of an earlier incarnation has ended with it. */
function changeLoad(state: GatewayState, server: BackendServer, change: ServerLoad): void {
    if (isSuperseded(state, server)) {
        return;
    }
    const { id } = server.record;
    const load: ServerLoad = state.loads.get(id)
        ?? { inProgress: 0, memoryTokens: 0, copiedTokens: 0, waitingTokens: 0 };
    load.inProgress += change.inProgress;
    load.memoryTokens += change.memoryTokens;
    load.copiedTokens += change.copiedTokens;
    load.waitingTokens += change.waitingTokens;
    if (change.memoryTokens !== 0 || change.waitingTokens !== 0) {
        state.loadsVersion++;
    }
    state.loads.set(id, load);
    if (load.inProgress === 0 && load.memoryTokens === 0) {
        state.loads.delete(id);
    }
}
