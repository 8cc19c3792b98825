/**
 * Requests, and parts of prompts, that crash the backend servers which begin to run them. Gateways report to each other
 * under which of these suspects servers crashed and which have begun after all, so that a suspect is suspended after a few
 * crashes wherever its requests come.
 */
import { type SuspectKind, suspendedUntil, taskRank } from "@verbenaspring/coordination";
import {
    type BackendServerId,
    type ContentDigest,
    type CrashSuspectId,
    identifier,
    type Milliseconds,
    type OrganisationId,
    type RepeatedRequestId,
} from "@verbenaspring/model";
import { type AttemptOutcome, endAttempt } from "./attempts.js";
import { certainRunTime } from "./drainLimit.js";
import type { ServerReport } from "./event.js";
import { requestProbe } from "./liveness.js";
import { liveMembers } from "./members.js";
import { reportToPeers } from "./peers.js";
import { failRequest, requestFields } from "./requests.js";
import { isOtherIncarnation } from "./serverIncarnations.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** A crash of one incarnation of a server, as gateways report it to each other. */
export interface PeerServerCrash {
    readonly backendServer: BackendServerId;
    /** When the incarnation started, by the server's own clock; undefined if its records do not tell. */
    readonly startedAt: number | undefined;
    /** The time since the crash. */
    readonly age: Milliseconds;
    /** Whether a run with the suspect began later. */
    readonly isCleared: boolean;
}

/** A suspect under whose runs servers crashed, as gateways report it to each other. */
export interface PeerCrashSuspect {
    readonly id: CrashSuspectId;
    /** Whether a run with it began, or it is the first part of prompts. */
    readonly isCommon: boolean;
    readonly crashes: readonly PeerServerCrash[];
}

interface ServerCrash {
    readonly backendServer: BackendServerId;
    readonly startedAt: number | undefined;
    readonly at: Milliseconds;
    readonly isCleared: boolean;
}

/** A suspect under whose runs servers crashed. Its newest crashes, by server and incarnation. */
interface Suspect {
    readonly isCommon: boolean;
    readonly crashes: ReadonlyMap<string, ServerCrash>;
    /** The changes of all suspects are numbered in the order in which this gateway learnt of them. */
    readonly number: number;
}

/** Runs that were lost before they began, at a server of which it is not known yet whether it crashed. */
interface LostRuns {
    readonly startedAt: number | undefined;
    readonly at: Milliseconds;
    /** The requests and the parts of their prompts, and whether each is the first part of a prompt. */
    readonly suspects: ReadonlyMap<CrashSuspectId, boolean>;
}

/** What a gateway knows of suspects. Owned and changed by the event loop. */
export interface CrashSuspects {
    /** The parts with which runs began at this gateway, the one that began least recently first. */
    readonly begunParts: Set<CrashSuspectId>;
    /** Least recently changed first. */
    readonly suspects: Map<CrashSuspectId, Suspect>;
    readonly lostRuns: Map<BackendServerId, LostRuns>;
    /** The number of the newest change of a suspect. */
    changeCount: number;
}

const maximumBegunParts = 8_192;
const maximumSuspects = 1_024;
/** Crashes that are kept of each suspect. */
const maximumCrashes = 8;
/** Nothing is suspect any more this long after its last crash. */
const suspectRetention: Milliseconds = 1_800_000;
/** The `retryAfter` while another gateway, or another request, may be trying a suspect again. */
const trialRetryAfter: Milliseconds = 1_000;
/** By how much later each gateway may try a suspect than the one that ranks before it. */
const trialStagger: Milliseconds = 1_500;
/** A probe has told within this time whether the server of lost runs crashed. */
const probeResultTimeout: Milliseconds = 1_000;

/** Creates the knowledge of a gateway that has seen no crash. */
export function createCrashSuspects(): CrashSuspects {
    return { begunParts: new Set(), suspects: new Map(), lostRuns: new Map(), changeCount: 0 };
}

const repeatedRequestPrefix = "request:";

/** Identifies a request together with all others of its organisation that ask for the same. */
export function identifyRepeats(
    organisation: OrganisationId | undefined,
    digest: ContentDigest,
): RepeatedRequestId {
    return identifier(`${repeatedRequestPrefix}${organisation ?? ""}/${digest}`);
}

/** The ids of parts hold no colon. */
function isRepeatedRequest(id: CrashSuspectId): boolean {
    return id.startsWith(repeatedRequestPrefix);
}

function suspectsOf({ head, repeatedId }: GatewayRequest): readonly CrashSuspectId[] {
    return [...head.sharedParts, repeatedId];
}

/** Records that the run of an attempt began, which clears its request and the parts of its prompt. */
export function recordBegunRun(transaction: Transaction, request: GatewayRequest): void {
    const { crashSuspects } = transaction.state;
    const { begunParts, suspects } = crashSuspects;
    let hasChanged = false;
    for (const id of suspectsOf(request)) {
        if (!isRepeatedRequest(id)) {
            begunParts.delete(id);
            begunParts.add(id);
        }
        const suspect = suspects.get(id);
        if (suspect !== undefined && (!suspect.isCommon || openCrashes(suspect).length > 0)) {
            const crashes = [...suspect.crashes].map(([key, crash]) => [key, { ...crash, isCleared: true }] as const);
            setSuspect(crashSuspects, id, { isCommon: true, crashes: new Map(crashes) });
            logDecision(transaction, "info", "suspect_cleared", { suspect: id });
            hasChanged = true;
        }
    }
    evictOldest(begunParts, maximumBegunParts);
    if (hasChanged) {
        reportToPeers(transaction);
    }
}

const outcomesOfCrashes: ReadonlySet<AttemptOutcome> = new Set([
    "channel_lost",
    "answer_truncated",
    "server_restarted",
]);

/**
 * Whether the server of an attempt may have exited as planned: it left, and for so long that it was not certain to run
 * any more. A server that leaves and ends sooner has crashed.
 */
function mayHaveExited(
    state: GatewayState,
    { server: { record: { id, startedAt } } }: Attempt,
    now: Milliseconds,
): boolean {
    const known = state.servers.get(id);
    if (known === undefined) {
        return true;
    }
    const leavingNotBefore = known.record.startedAt === startedAt
        ? known.leavingNotBefore
        : known.restart?.previousLeavingNotBefore;
    return leavingNotBefore !== undefined && certainRunTime(state, { leavingNotBefore }, now) === 0;
}

/**
 * Records a run that was lost before it began, and probes its server, which may have crashed. If the server is known to
 * have restarted, the run is blamed at once, which may end requests, also that of the run. An exit that may have been
 * planned blames nothing.
 */
export function recordLostRun(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): void {
    const { state, now } = transaction;
    const hasBegun = attempt.firstEventAt !== undefined || request.lastEvent !== undefined;
    if (hasBegun || !outcomesOfCrashes.has(outcome)) {
        return;
    }
    if (mayHaveExited(state, attempt, now)) {
        return logDecision(transaction, "debug", "exit_taken_for_planned", requestFields(transaction, request));
    }
    const { id, startedAt } = attempt.server.record;
    forgetUnsettledRuns(transaction);
    const earlier = state.crashSuspects.lostRuns.get(id);
    const known = earlier?.startedAt === startedAt ? earlier : undefined;
    const suspects = new Map(known?.suspects);
    for (const suspect of suspectsOf(request)) {
        suspects.set(suspect, isFirstPart(request, suspect) || suspects.get(suspect) === true);
    }
    state.crashSuspects.lostRuns.set(id, { startedAt, at: known?.at ?? now, suspects });
    const record = state.servers.get(id)?.record ?? attempt.server.record;
    if (isOtherIncarnation(startedAt, record.startedAt)) {
        settleLostRuns(transaction, id, { isLeaving: false, startedAt: record.startedAt, runs: undefined });
    }
    else {
        requestProbe(transaction, record);
    }
}

function isFirstPart({ head }: GatewayRequest, id: CrashSuspectId): boolean {
    return head.sharedParts[0] === id;
}

/** Forgets lost runs whose server was not probed, since it wants no calls. */
function forgetUnsettledRuns({ state: { crashSuspects: { lostRuns } }, now }: Transaction): void {
    for (const [id, { at }] of lostRuns) {
        if (now - at > probeResultTimeout) {
            lostRuns.delete(id);
        }
    }
}

/** Blames lost runs and the parts of their prompts if the probe of their server shows that it crashed. */
export function settleLostRuns(
    transaction: Transaction,
    backendServer: BackendServerId,
    report: ServerReport | undefined,
): void {
    const { crashSuspects } = transaction.state;
    const lost = crashSuspects.lostRuns.get(backendServer);
    crashSuspects.lostRuns.delete(backendServer);
    if (lost === undefined || (report !== undefined && !isOtherIncarnation(report.startedAt, lost.startedAt))) {
        return;
    }
    const { startedAt, at } = lost;
    const crash: ServerCrash = { backendServer, startedAt, at, isCleared: false };
    for (const [id, isFirst] of lost.suspects) {
        const isCommon = isFirst || isKnownAsCommon(crashSuspects, id);
        const crashes = new Map(crashSuspects.suspects.get(id)?.crashes).set(crashKey(crash), crash);
        setSuspect(crashSuspects, id, { isCommon, crashes: newestCrashes(crashes) });
        logDecision(transaction, "info", "suspect_blamed", {
            suspect: id,
            server: backendServer,
            crashes: openCrashes(crashSuspects.suspects.get(id)).length,
            isCommon,
        });
    }
    reportToPeers(transaction);
    stopSuspendedRequests(transaction);
}

function isKnownAsCommon({ suspects, begunParts }: CrashSuspects, id: CrashSuspectId): boolean {
    return suspects.get(id)?.isCommon === true || begunParts.has(id);
}

function kindOf(id: CrashSuspectId, isCommon: boolean): SuspectKind {
    if (isCommon) {
        return "common";
    }
    return isRepeatedRequest(id) ? "request" : "rare";
}

function crashKey({ backendServer, startedAt }: Pick<ServerCrash, "backendServer" | "startedAt">): string {
    return `${backendServer}/${startedAt ?? ""}`;
}

function openCrashes(suspect: Suspect | undefined): ServerCrash[] {
    return [...suspect?.crashes.values() ?? []].filter(({ isCleared }) => !isCleared);
}

/** The crashes that count against a common suspect: those under no rarer one that is suspended. */
function unexplainedCrashes({ suspects }: CrashSuspects, id: CrashSuspectId): ServerCrash[] {
    const crashes = openCrashes(suspects.get(id));
    const suspended = crashes.length === 0 ? [] : [...suspects].filter(isSuspendedRare).map(([, suspect]) => suspect);
    return crashes.filter(crash => !suspended.some(other => other.crashes.get(crashKey(crash))?.isCleared === false));
}

function isSuspendedRare([id, suspect]: readonly [CrashSuspectId, Suspect]): boolean {
    const crashTimes = openCrashes(suspect).map(({ at }) => at);
    return !suspect.isCommon && suspendedUntil({ crashTimes, kind: kindOf(id, false) }) !== undefined;
}

/** Keeps the crashes that count, and of these the newest. */
function newestCrashes(crashes: ReadonlyMap<string, ServerCrash>): ReadonlyMap<string, ServerCrash> {
    const order = ({ isCleared, at }: ServerCrash): number => isCleared ? -Infinity : at;
    const newestFirst = [...crashes].sort(([, one], [, other]) => order(other) - order(one));
    return new Map(newestFirst.slice(0, maximumCrashes));
}

function setSuspect(crashSuspects: CrashSuspects, id: CrashSuspectId, suspect: Omit<Suspect, "number">): void {
    const { suspects } = crashSuspects;
    suspects.delete(id);
    suspects.set(id, { ...suspect, number: ++crashSuspects.changeCount });
    if (suspects.size > maximumSuspects) {
        suspects.delete(chooseEvicted(suspects));
    }
}

/** The least recently changed suspect that is not suspended, or if all are, the least recently changed one. */
function chooseEvicted(suspects: ReadonlyMap<CrashSuspectId, Suspect>): CrashSuspectId {
    const [oldest] = suspects.keys();
    for (const [id, suspect] of suspects) {
        const crashTimes = openCrashes(suspect).map(({ at }) => at);
        if (suspendedUntil({ crashTimes, kind: kindOf(id, suspect.isCommon) }) === undefined) {
            return id;
        }
    }
    return oldest;
}

function evictOldest(
    entries: { readonly size: number; delete(key: CrashSuspectId): boolean; keys(): Iterable<CrashSuspectId>; },
    most: number,
): void {
    for (const oldest of entries.keys()) {
        if (entries.size <= most) {
            return;
        }
        entries.delete(oldest);
    }
}

/** Forgets the suspects under which no server has crashed for long, and lost runs that no probe explains. */
export function forgetSuspects(transaction: Transaction): void {
    const { state: { crashSuspects: { suspects } }, now } = transaction;
    forgetUnsettledRuns(transaction);
    for (const [id, { crashes }] of suspects) {
        if ([...crashes.values()].every(({ at }) => now - at > suspectRetention)) {
            suspects.delete(id);
        }
    }
}

/** A suspect for which a request may not be sent, and the time until it may. */
export interface Suspension {
    readonly suspect: CrashSuspectId;
    readonly left: Milliseconds;
}

/**
 * The suspect for which a request may not be sent now; undefined if it may be. A request that has begun is not suspended:
 * it crashed no server.
 */
export function suspensionOf({ state, now }: Transaction, request: GatewayRequest): Suspension | undefined {
    const { suspects, lostRuns } = state.crashSuspects;
    if (request.lastEvent !== undefined || (suspects.size === 0 && lostRuns.size === 0)) {
        return undefined;
    }
    const suspensions = suspectsOf(request).flatMap(suspect => {
        const left = suspensionLeft(state, request, suspect, now);
        return left === undefined ? [] : [{ suspect, left }];
    });
    return suspensions.sort((one, other) => other.left - one.left)[0];
}

function suspensionLeft(
    state: GatewayState,
    request: GatewayRequest,
    id: CrashSuspectId,
    now: Milliseconds,
): Milliseconds | undefined {
    const { suspects, lostRuns } = state.crashSuspects;
    // A repeat does not wait for the probe that tells whether the server of the lost run crashed.
    const unsettled = [...lostRuns.values()].filter(lost => request.sends > 0 && lost.suspects.has(id));
    const isCommon = isFirstPart(request, id) || isKnownAsCommon(state.crashSuspects, id);
    const crashes = isCommon ? unexplainedCrashes(state.crashSuspects, id) : openCrashes(suspects.get(id));
    const crashTimes = [...crashes, ...unsettled].map(({ at }) => at);
    const until = suspendedUntil({ crashTimes, kind: kindOf(id, isCommon) });
    if (until === undefined) {
        return undefined;
    }
    if (now < until) {
        return until - now;
    }
    const isTurn = now >= until + trialStagger * trialRank(state, id, now);
    return isTurn && !isTried(state, request, id) ? undefined : trialRetryAfter;
}

/** The rank of this gateway among those that may try a suspect again. */
function trialRank(state: GatewayState, id: CrashSuspectId, now: Milliseconds): number {
    const others = liveMembers(state, now).filter(({ record }) => !record.isStopping);
    return taskRank(state.options.peerAddress, others.map(({ record }) => record.address), id);
}

/** Whether another request here has the suspect and has not begun. */
function isTried({ requests }: GatewayState, request: GatewayRequest, id: CrashSuspectId): boolean {
    return [...requests.values()].some(other =>
        other !== request && other.lastEvent === undefined && suspectsOf(other).includes(id)
    );
}

/**
 * Ends the requests that wait with a suspended suspect, and the runs that have not begun with one that is not common.
 * Those with a common one go on, since they may clear it.
 */
function stopSuspendedRequests(transaction: Transaction): void {
    const { state } = transaction;
    for (const request of [...state.requests.values()]) {
        const suspension = suspensionOf(transaction, request);
        if (suspension === undefined) {
            continue;
        }
        if (request.attempt === undefined) {
            failSuspended(transaction, request, suspension);
        }
        else if (state.crashSuspects.suspects.get(suspension.suspect)?.isCommon === false) {
            endAttempt(transaction, request, request.attempt, "cancel");
            failSuspended(transaction, request, suspension);
        }
    }
}

/** Fails a request that may not be sent because of a suspect. */
export function failSuspended(
    transaction: Transaction,
    request: GatewayRequest,
    { suspect, left }: Suspension,
): void {
    logDecision(transaction, "info", "suspect_suspended", {
        ...requestFields(transaction, request),
        suspect,
        suspendedFor: Math.round(left),
    });
    const message = isRepeatedRequest(suspect)
        ? "servers crashed under this request"
        : "servers crashed under a part of the prompt";
    failRequest(transaction, request, "request_suspended", message, left);
}

/** Merges what another gateway knows of suspects, and passes on what is new. */
export function applyPeerSuspects(transaction: Transaction, suspects: readonly PeerCrashSuspect[]): void {
    const changes = suspects.map(suspect => applyPeerSuspect(transaction, suspect));
    if (changes.includes(true)) {
        reportToPeers(transaction);
        stopSuspendedRequests(transaction);
    }
}

function applyPeerSuspect({ state, now }: Transaction, { id, isCommon, crashes }: PeerCrashSuspect): boolean {
    const { crashSuspects } = state;
    const suspect = crashSuspects.suspects.get(id);
    const merged = new Map(suspect?.crashes);
    for (const { age, ...crash } of crashes) {
        const known = merged.get(crashKey(crash));
        const isCleared = crash.isCleared || known?.isCleared === true;
        merged.set(crashKey(crash), { ...crash, at: known?.at ?? now - age, isCleared });
    }
    const next = {
        isCommon: isCommon || isKnownAsCommon(crashSuspects, id),
        crashes: newestCrashes(merged),
    };
    if (suspect !== undefined && isSame(suspect, next)) {
        return false;
    }
    setSuspect(crashSuspects, id, next);
    return true;
}

function isSame(one: Suspect, other: Omit<Suspect, "number">): boolean {
    return one.isCommon === other.isCommon && one.crashes.size === other.crashes.size
        && [...other.crashes].every(([key, { isCleared }]) => one.crashes.get(key)?.isCleared === isCleared);
}

/** The suspects that changed after the change with the given number, as they are reported to others. */
export function suspectsAfter(state: GatewayState, number: number, now: Milliseconds): PeerCrashSuspect[] {
    const { suspects, changeCount } = state.crashSuspects;
    return changeCount === number ? [] : [...suspects]
        .filter(([, suspect]) => suspect.number > number)
        .map(([id, { isCommon, crashes }]) => ({
            id,
            isCommon,
            crashes: [...crashes.values()].map(({ at, ...crash }) => ({ ...crash, age: now - at })),
        }));
}
