/**
 * Parts of prompts that crash the backend servers which begin to answer on them. Gateways report to each other under
 * which parts servers crashed and which of these have begun after all, so that a part is suspended after a few crashes
 * wherever its requests come.
 */
import { suspendedUntil, taskRank } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds, PromptPartId } from "@verbenaspring/model";
import { type AttemptOutcome, endAttempt } from "./attempts.js";
import type { ServerReport } from "./event.js";
import { requestProbe } from "./liveness.js";
import { liveMembers } from "./members.js";
import { reportToPeers } from "./peers.js";
import { failRequest, requestFields } from "./requests.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** A crash of one incarnation of a server, as gateways report it to each other. */
export interface PeerServerCrash {
    readonly backendServer: BackendServerId;
    /** When the incarnation started, by the server's own clock; undefined if its records do not tell. */
    readonly startedAt: number | undefined;
    /** The time since the crash. */
    readonly age: Milliseconds;
    /** Whether a run with the part began later. */
    readonly isCleared: boolean;
}

/** A part under whose runs servers crashed, as gateways report it to each other. */
export interface PeerCrashSuspect {
    readonly part: PromptPartId;
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

/** A part under whose runs servers crashed. Its newest crashes, by server and incarnation. */
interface Suspect {
    readonly isCommon: boolean;
    readonly crashes: ReadonlyMap<string, ServerCrash>;
    /** The changes of all parts are numbered in the order in which this gateway learnt of them. */
    readonly number: number;
}

/** Runs that were lost before they began, at a server of which it is not known yet whether it crashed. */
interface LostRuns {
    readonly startedAt: number | undefined;
    readonly at: Milliseconds;
    /** The parts of their prompts, and whether each was the first. */
    readonly parts: ReadonlyMap<PromptPartId, boolean>;
}

/** What a gateway knows of the parts of prompts. Owned and changed by the event loop. */
export interface CrashSuspects {
    /** The parts with which runs began at this gateway, the one that began least recently first. */
    readonly begun: Set<PromptPartId>;
    /** Least recently changed first. */
    readonly suspects: Map<PromptPartId, Suspect>;
    readonly lostRuns: Map<BackendServerId, LostRuns>;
    /** The number of the newest change of a suspect. */
    changeCount: number;
}

const maximumBegunParts = 8_192;
const maximumSuspects = 1_024;
/** Crashes that are kept of each part. */
const maximumCrashes = 8;
/** A part is no longer suspect this long after its last crash. */
const suspectRetention: Milliseconds = 1_800_000;
/** The `retryAfter` while another gateway, or another request, may be trying a part again. */
const trialRetryAfter: Milliseconds = 1_000;
/** By how much later each gateway may try a part than the one that ranks before it. */
const trialStagger: Milliseconds = 1_500;
/** A probe has told within this time whether the server of lost runs crashed. */
const probeResultTimeout: Milliseconds = 1_000;

/** Creates the knowledge of a gateway that has seen no crash. */
export function createCrashSuspects(): CrashSuspects {
    return { begun: new Set(), suspects: new Map(), lostRuns: new Map(), changeCount: 0 };
}

/** Records that the run of an attempt began, which clears the parts of its prompt. */
export function recordBegunRun(transaction: Transaction, { head }: GatewayRequest): void {
    const { crashSuspects } = transaction.state;
    const { begun, suspects } = crashSuspects;
    let hasChanged = false;
    for (const part of head.sharedParts) {
        begun.delete(part);
        begun.add(part);
        const suspect = suspects.get(part);
        if (suspect !== undefined && (!suspect.isCommon || openCrashes(suspect).length > 0)) {
            const crashes = [...suspect.crashes].map(([key, crash]) => [key, { ...crash, isCleared: true }] as const);
            setSuspect(crashSuspects, part, { isCommon: true, crashes: new Map(crashes) });
            logDecision(transaction, "info", "suspect_cleared", { part });
            hasChanged = true;
        }
    }
    evictOldest(begun, maximumBegunParts);
    if (hasChanged) {
        reportToPeers(transaction);
    }
}

const outcomesOfCrashes: ReadonlySet<AttemptOutcome> = new Set(["channel_lost", "answer_truncated"]);

/** Records a run that was lost before it began, and probes its server, which may have crashed. */
export function recordLostRun(
    transaction: Transaction,
    { head, lastEvent }: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): void {
    const { state, now } = transaction;
    const hasBegun = attempt.firstEventAt !== undefined || lastEvent !== undefined;
    if (hasBegun || head.sharedParts.length === 0 || !outcomesOfCrashes.has(outcome)) {
        return;
    }
    const { id, startedAt } = attempt.server.record;
    forgetUnsettledRuns(transaction);
    const known = state.crashSuspects.lostRuns.get(id);
    const parts = new Map(known?.parts);
    head.sharedParts.forEach((part, index) => parts.set(part, index === 0 || parts.get(part) === true));
    state.crashSuspects.lostRuns.set(id, { startedAt, at: known?.at ?? now, parts });
    requestProbe(transaction, attempt.server.record);
}

/** Forgets lost runs whose server was not probed, since it wants no calls. */
function forgetUnsettledRuns({ state: { crashSuspects: { lostRuns } }, now }: Transaction): void {
    for (const [id, { at }] of lostRuns) {
        if (now - at > probeResultTimeout) {
            lostRuns.delete(id);
        }
    }
}

/** Blames the parts of lost runs if the probe of their server shows that it crashed. */
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
    for (const [part, isFirst] of lost.parts) {
        const isCommon = isFirst || isKnownAsCommon(crashSuspects, part);
        const crashes = new Map(crashSuspects.suspects.get(part)?.crashes).set(crashKey(crash), crash);
        setSuspect(crashSuspects, part, { isCommon, crashes: newestCrashes(crashes) });
        logDecision(transaction, "info", "suspect_blamed", {
            part,
            server: backendServer,
            crashes: openCrashes(crashSuspects.suspects.get(part)).length,
            isCommon,
        });
    }
    reportToPeers(transaction);
    stopSuspendedRequests(transaction);
}

function isKnownAsCommon({ suspects, begun }: CrashSuspects, part: PromptPartId): boolean {
    return suspects.get(part)?.isCommon === true || begun.has(part);
}

function isOtherIncarnation(one: number | undefined, other: number | undefined): boolean {
    return one !== undefined && other !== undefined && one !== other;
}

function crashKey({ backendServer, startedAt }: Pick<ServerCrash, "backendServer" | "startedAt">): string {
    return `${backendServer}/${startedAt ?? ""}`;
}

function openCrashes(suspect: Suspect | undefined): ServerCrash[] {
    return [...suspect?.crashes.values() ?? []].filter(({ isCleared }) => !isCleared);
}

/** The crashes that count against a common part: those under no rare part that is suspended. */
function unexplainedCrashes({ suspects }: CrashSuspects, part: PromptPartId): ServerCrash[] {
    const crashes = openCrashes(suspects.get(part));
    const suspended = crashes.length === 0 ? [] : [...suspects.values()].filter(isSuspendedRare);
    return crashes.filter(crash => !suspended.some(other => other.crashes.get(crashKey(crash))?.isCleared === false));
}

function isSuspendedRare(suspect: Suspect): boolean {
    const crashTimes = openCrashes(suspect).map(({ at }) => at);
    return !suspect.isCommon && suspendedUntil({ crashTimes, isCommon: false }) !== undefined;
}

/** Keeps the crashes that count, and of these the newest. */
function newestCrashes(crashes: ReadonlyMap<string, ServerCrash>): ReadonlyMap<string, ServerCrash> {
    const order = ({ isCleared, at }: ServerCrash): number => isCleared ? -Infinity : at;
    const newestFirst = [...crashes].sort(([, one], [, other]) => order(other) - order(one));
    return new Map(newestFirst.slice(0, maximumCrashes));
}

function setSuspect(crashSuspects: CrashSuspects, part: PromptPartId, suspect: Omit<Suspect, "number">): void {
    const { suspects } = crashSuspects;
    suspects.delete(part);
    suspects.set(part, { ...suspect, number: ++crashSuspects.changeCount });
    evictOldest(suspects, maximumSuspects);
}

function evictOldest(
    entries: { readonly size: number; delete(key: PromptPartId): boolean; keys(): Iterable<PromptPartId>; },
    most: number,
): void {
    for (const oldest of entries.keys()) {
        if (entries.size <= most) {
            return;
        }
        entries.delete(oldest);
    }
}

/** Forgets the parts under which no server has crashed for long, and lost runs that no probe explains. */
export function forgetSuspects(transaction: Transaction): void {
    const { state: { crashSuspects: { suspects } }, now } = transaction;
    forgetUnsettledRuns(transaction);
    for (const [part, { crashes }] of suspects) {
        if ([...crashes.values()].every(({ at }) => now - at > suspectRetention)) {
            suspects.delete(part);
        }
    }
}

/** A request that may not be sent because of a part of its prompt, and the time until it may. */
export interface Suspension {
    readonly part: PromptPartId;
    readonly left: Milliseconds;
}

/**
 * The part for which a request may not be sent now; undefined if it may be. A request that has begun is not suspended:
 * its parts crashed no server.
 */
export function suspensionOf({ state, now }: Transaction, request: GatewayRequest): Suspension | undefined {
    if (request.lastEvent !== undefined) {
        return undefined;
    }
    const suspensions = request.head.sharedParts.flatMap(part => {
        const left = suspensionLeft(state, request, part, now);
        return left === undefined ? [] : [{ part, left }];
    });
    return suspensions.sort((one, other) => other.left - one.left)[0];
}

function suspensionLeft(
    state: GatewayState,
    request: GatewayRequest,
    part: PromptPartId,
    now: Milliseconds,
): Milliseconds | undefined {
    const { suspects, lostRuns } = state.crashSuspects;
    const suspect = suspects.get(part);
    if (suspect === undefined && lostRuns.size === 0) {
        return undefined;
    }
    // A repeat does not wait for the probe that tells whether the server of the lost run crashed.
    const unsettled = [...lostRuns.values()].filter(({ parts }) => request.sends > 0 && parts.has(part));
    const isCommon = part === request.head.sharedParts[0] || isKnownAsCommon(state.crashSuspects, part);
    const crashes = isCommon ? unexplainedCrashes(state.crashSuspects, part) : openCrashes(suspect);
    const crashTimes = [...crashes, ...unsettled].map(({ at }) => at);
    const until = suspendedUntil({ crashTimes, isCommon });
    if (until === undefined) {
        return undefined;
    }
    if (now < until) {
        return until - now;
    }
    const isTurn = now >= until + trialStagger * trialRank(state, part, now);
    return isTurn && !isTried(state, request, part) ? undefined : trialRetryAfter;
}

/** The rank of this gateway among those that may try a suspended part again. */
function trialRank(state: GatewayState, part: PromptPartId, now: Milliseconds): number {
    const others = liveMembers(state, now).filter(({ record }) => !record.isStopping);
    return taskRank(state.options.peerAddress, others.map(({ record }) => record.address), part);
}

/** Whether another request here has the part and has not begun. */
function isTried({ requests }: GatewayState, request: GatewayRequest, part: PromptPartId): boolean {
    return [...requests.values()].some(other =>
        other !== request && other.lastEvent === undefined && other.head.sharedParts.includes(part)
    );
}

/**
 * Ends the requests that wait with a suspended part, and the runs that have not begun with one that is rare. Those with a
 * common part go on, since they may clear it.
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
        else if (state.crashSuspects.suspects.get(suspension.part)?.isCommon === false) {
            endAttempt(transaction, request, request.attempt, "cancel");
            failSuspended(transaction, request, suspension);
        }
    }
}

/** Fails a request that may not be sent because of a part of its prompt. */
export function failSuspended(
    transaction: Transaction,
    request: GatewayRequest,
    { part, left }: Suspension,
): void {
    logDecision(transaction, "info", "suspect_suspended", {
        ...requestFields(transaction, request),
        part,
        suspendedFor: Math.round(left),
    });
    failRequest(transaction, request, "request_suspended", "servers crashed under a part of the prompt", left);
}

/** Merges what another gateway knows of parts, and passes on what is new. */
export function applyPeerSuspects(transaction: Transaction, parts: readonly PeerCrashSuspect[]): void {
    const changes = parts.map(part => applyPeerSuspect(transaction, part));
    if (changes.includes(true)) {
        reportToPeers(transaction);
        stopSuspendedRequests(transaction);
    }
}

function applyPeerSuspect({ state, now }: Transaction, { part, isCommon, crashes }: PeerCrashSuspect): boolean {
    const { crashSuspects } = state;
    const suspect = crashSuspects.suspects.get(part);
    const merged = new Map(suspect?.crashes);
    for (const { age, ...crash } of crashes) {
        const known = merged.get(crashKey(crash));
        const isCleared = crash.isCleared || known?.isCleared === true;
        merged.set(crashKey(crash), { ...crash, at: known?.at ?? now - age, isCleared });
    }
    const next = {
        isCommon: isCommon || isKnownAsCommon(crashSuspects, part),
        crashes: newestCrashes(merged),
    };
    if (suspect !== undefined && isSame(suspect, next)) {
        return false;
    }
    setSuspect(crashSuspects, part, next);
    return true;
}

function isSame(one: Suspect, other: Omit<Suspect, "number">): boolean {
    return one.isCommon === other.isCommon && one.crashes.size === other.crashes.size
        && [...other.crashes].every(([key, { isCleared }]) => one.crashes.get(key)?.isCleared === isCleared);
}

/** The parts that changed after the change with the given number, as they are reported to others. */
export function suspectsAfter(state: GatewayState, number: number, now: Milliseconds): PeerCrashSuspect[] {
    const { suspects, changeCount } = state.crashSuspects;
    return changeCount === number ? [] : [...suspects]
        .filter(([, suspect]) => suspect.number > number)
        .map(([part, { isCommon, crashes }]) => ({
            part,
            isCommon,
            crashes: [...crashes.values()].map(({ at, ...crash }) => ({ ...crash, age: now - at })),
        }));
}
