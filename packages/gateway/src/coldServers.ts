/**
 * Backend servers that have started a short time ago, or whose failure domain is used again: until they are warm, all
 * gateways together send them requests at a limited rate, of which each gateway has a share.
 */
import {
    type ColdRate,
    coldShare,
    createAllowance,
    type LimitShare,
    type RequestAllowance,
    spendAllowance,
    taskRank,
    timeUntilAllowed,
    undetectedShare,
    updateAllowance,
} from "@verbenaspring/coordination";
import type { BackendServerId, FailureDomain, Milliseconds, ServiceName } from "@verbenaspring/model";
import { type BackendRecord, type BackendServer, warmUpTolerance } from "./backendServers.js";
import { countKnownInstances } from "./members.js";
import type { GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** What a server stated in an answer: until when it is cold. */
interface ColdStatement {
    /** The incarnation of the server. */
    readonly startedAt: number | undefined;
    readonly until: Milliseconds;
}

/** What this gateway may send to a server that is cold. */
interface ColdAllowance {
    /** The incarnation of the server. */
    readonly startedAt: number | undefined;
    readonly allowance: RequestAllowance;
    /** When the share was last computed. */
    readonly sharedAt: Milliseconds;
}

/** What a gateway knows of cold servers. Owned and changed by the event loop. */
export interface ColdServers {
    readonly statements: Map<BackendServerId, ColdStatement>;
    /** The failure domains whose evacuation was withdrawn a short time ago, and when. */
    readonly returningDomains: Map<FailureDomain, Milliseconds>;
    readonly allowances: Map<BackendServerId, ColdAllowance>;
    /** When {@link updateColdServers} was last called. */
    checkedAt: Milliseconds;
    /** When all other gateways have certainly counted this one, and it has heard of them. */
    settledAt: Milliseconds;
}

/**
 * The record of a server that returned with its failure domain may be late by a heartbeat and a read: that long the
 * server counts as cold beyond the time that its service states.
 */
const recordDelay: Milliseconds = 3_000;
/** The time from the first contact with another gateway until the records of all have spread. */
const settleTime: Milliseconds = 2_000;
/**
 * A gateway that has heard from no other for this long reduces its share. It is shorter than the time after which the
 * others forget it (60 s), so that they don't use its part while it does.
 */
const contactTimeout: Milliseconds = 50_000;
/** Without a tick for this long the process was frozen, and what it knows of the other gateways may be out of date. */
const maximumCheckInterval: Milliseconds = 1_000;
/** How often the shares follow changes of the known gateways and of the settings. */
const shareUpdateInterval: Milliseconds = 500;

/** Creates the knowledge of a gateway that has just started. */
export function createColdServers(): ColdServers {
    return {
        statements: new Map(),
        returningDomains: new Map(),
        allowances: new Map(),
        checkedAt: -Infinity,
        settledAt: Infinity,
    };
}

/**
 * Records how much longer a server is cold by its own answer. The newest answer of an incarnation applies; one of an
 * earlier incarnation is ignored.
 *
 * @param record the record of the server when it was called
 * @param coldRemaining undefined if the answer does not state it
 */
export function recordColdStatement(
    { state, now }: Transaction,
    { id, startedAt }: BackendRecord,
    coldRemaining: Milliseconds | undefined,
): void {
    const known = state.servers.get(id);
    if (coldRemaining !== undefined && known !== undefined && known.record.startedAt === startedAt) {
        state.coldServers.statements.set(id, { startedAt, until: now + coldRemaining });
    }
}

/**
 * Marks the servers of a failure domain as cold, because its evacuation was withdrawn: for the time that their service
 * states, and a little longer since their records may be late.
 *
 * @example
 * markReturningDomain(transaction, evacuation.failureDomain);
 */
export function markReturningDomain({ state, now }: Transaction, failureDomain: FailureDomain): void {
    state.coldServers.returningDomains.set(failureDomain, now);
}

/** Whether a server is cold, so that it may receive requests only at a limited rate. */
export function isCold(state: GatewayState, server: BackendServer, now: Milliseconds): boolean {
    return coldPerSecond(state, server.record.service) > 0 && now < coldUntil(state, server);
}

/** Whether a service has a server that is cold. */
export function hasColdServer(state: GatewayState, service: ServiceName, now: Milliseconds): boolean {
    const servers = (state.serversByService.get(service) ?? []).flatMap(id => state.servers.get(id) ?? []);
    return servers.some(server => isCold(state, server, now));
}

/** Whether the rate of a server, if it is cold, allows this gateway to send it a request now. */
export function isWithinColdRate(state: GatewayState, server: BackendServer, now: Milliseconds): boolean {
    return timeUntilWithinColdRate(state, server, now) === 0;
}

/**
 * The time until this gateway may send a request to a server: 0 if it may now or the server is not cold. It ends at the
 * latest when the server is warm.
 */
export function timeUntilWithinColdRate(state: GatewayState, server: BackendServer, now: Milliseconds): Milliseconds {
    if (!isCold(state, server, now)) {
        return 0;
    }
    const { allowances, checkedAt } = state.coldServers;
    const known = allowances.get(server.record.id);
    // The next tick creates an allowance, which is empty at first.
    const isUsable = known?.startedAt === server.record.startedAt && now - checkedAt <= maximumCheckInterval;
    const left = known !== undefined && isUsable ? timeUntilAllowed(known.allowance, now) : Infinity;
    return Math.min(left, coldUntil(state, server) - now);
}

/** The requests a second that this gateway may send to a server while it is cold. */
export function coldShareAt({ coldServers: { allowances } }: GatewayState, { record: { id } }: BackendServer): number {
    return allowances.get(id)?.allowance.share.perSecond ?? 0;
}

/** Counts a request that is sent to a server towards its rate, if it is cold. */
export function spendColdRequest(
    { coldServers: { allowances } }: GatewayState,
    id: BackendServerId,
    now: Milliseconds,
): void {
    const known = allowances.get(id);
    if (known !== undefined) {
        allowances.set(id, { ...known, allowance: spendAllowance(known.allowance, now) });
    }
}

/** The number of servers that are cold. */
export function countColdServers({ coldServers }: GatewayState): number {
    return coldServers.allowances.size;
}

/** Updates which servers are cold, and the share of this gateway for each. Called at every tick. */
export function updateColdServers(transaction: Transaction): void {
    const { state, now } = transaction;
    updateSettled(transaction);
    state.coldServers.checkedAt = now;
    for (const server of state.servers.values()) {
        updateColdServer(transaction, server);
    }
    forgetColdServers(state, now);
}

/**
 * A gateway that starts, resumes after a freeze, or is alone is not settled, and its allowances start empty: gateways
 * that do so at the same time must not send all at once.
 */
function updateSettled({ state, now }: Transaction): void {
    const { coldServers } = state;
    const isResumed = now - coldServers.checkedAt > maximumCheckInterval;
    if (isResumed) {
        coldServers.allowances.clear();
    }
    if (isResumed || isOutOfContact(state, now)) {
        coldServers.settledAt = expectsOthers(state) ? now + settleTime : now;
    }
}

/** Whether the settings or earlier reports name other gateways. */
function expectsOthers({ options: { seedAddresses, peerAddress }, members }: GatewayState): boolean {
    return members.size > 0 || seedAddresses.some(address => address !== peerAddress);
}

function isOutOfContact({ members }: GatewayState, now: Milliseconds): boolean {
    return [...members.values()].every(({ heardAt }) => now - heardAt > contactTimeout);
}

function updateColdServer(transaction: Transaction, server: BackendServer): void {
    const { state, now } = transaction;
    const { id, startedAt, service } = server.record;
    const { allowances } = state.coldServers;
    const known = allowances.get(id);
    const rate = coldRateOf(state, service);
    if (rate === undefined || now >= coldUntil(state, server)) {
        if (allowances.delete(id)) {
            logDecision(transaction, "info", "server_warm", { server: id });
        }
        return;
    }
    if (known === undefined || known.startedAt !== startedAt) {
        const share = shareOf(state, id, rate, now);
        allowances.set(id, { startedAt, allowance: createAllowance(share, now), sharedAt: now });
        return logDecision(transaction, "info", "server_cold", {
            server: id,
            for: Math.round(coldUntil(state, server) - now),
            rate: rate.perSecond,
            share: Math.round(100 * share.perSecond) / 100,
        });
    }
    if (now - known.sharedAt >= shareUpdateInterval) {
        const allowance = updateAllowance(known.allowance, shareOf(state, id, rate, now), now);
        allowances.set(id, { ...known, allowance, sharedAt: now });
    }
}

function shareOf(state: GatewayState, id: BackendServerId, rate: ColdRate, now: Milliseconds): LimitShare {
    const instances = countKnownInstances(state);
    const share = coldShare(rate, taskRank(state.options.peerAddress, state.members.keys(), id), instances);
    // Gateways that start at the same time soon know each other: those that will have no share then don't begin to send.
    return now < state.coldServers.settledAt && share.burst > 0 ? undetectedShare(rate, instances) : share;
}

function forgetColdServers({ coldServers, servers, configuration }: GatewayState, now: Milliseconds): void {
    for (const entries of [coldServers.statements, coldServers.allowances]) {
        [...entries.keys()].filter(id => !servers.has(id)).forEach(id => entries.delete(id));
    }
    const durations = [...configuration?.services.values() ?? []].map(({ coldStart }) => coldStart?.duration ?? 0);
    for (const [domain, since] of coldServers.returningDomains) {
        if (now >= since + Math.max(0, ...durations) + recordDelay) {
            coldServers.returningDomains.delete(domain);
        }
    }
}

/** The rate of a service's cold servers; undefined if it is not limited. */
function coldRateOf(state: GatewayState, service: ServiceName): ColdRate | undefined {
    const { coldBound } = state.options;
    const perSecond = coldPerSecond(state, service);
    return coldBound === undefined || perSecond === 0 ? undefined : { perSecond, ...coldBound };
}

/** The requests a second that each cold server of a service receives; 0 if they are not limited. */
function coldPerSecond({ options, configuration }: GatewayState, service: ServiceName): number {
    return options.coldBound === undefined ? 0 : configuration?.services.get(service)?.coldStart?.perSecond ?? 0;
}

/**
 * Until when a server is cold, by its newest record, its newest answer and the return of its failure domain. The gateway
 * that reads the records may know an end that is later by the tolerance, which it does not report.
 */
function coldUntil(
    { coldServers, configuration }: GatewayState,
    { record, warmUpEndsAt }: BackendServer,
): Milliseconds {
    const { id, startedAt, service, failureDomain } = record;
    const statement = coldServers.statements.get(id);
    const statedUntil = statement?.startedAt === startedAt ? statement?.until : undefined;
    const returnedAt = coldServers.returningDomains.get(failureDomain) ?? -Infinity;
    const duration = configuration?.services.get(service)?.coldStart?.duration ?? 0;
    const recordedUntil = record.remainingWarmUp > 0 ? warmUpEndsAt + warmUpTolerance : -Infinity;
    return Math.max(recordedUntil, statedUntil ?? -Infinity, returnedAt + duration + recordDelay);
}
