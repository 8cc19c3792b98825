/**
 * Decides whether a stream or a whole answer without framing is complete when its channel has ended. The kernel ends the
 * channels of a process that is killed in the same way, and accepts connections for one that does not run. So the server is
 * asked for its report: the incarnation that had the run has to answer, and no longer to list the run. Where incarnations don't
 * state their start, each has another id, and none answers what is for another one. A server without reports has to answer a
 * health check. One that has started again under its id may answer it, so its record has to be read anew unless it answered at
 * once. The exit of a server that leaves ends its streams too, so that server has to answer when this can't have been its exit. No
 * request to stop a run may be open there.
 */
import type { AttemptId, Milliseconds, ServiceName } from "@verbenaspring/model";
import type { DecisionFields } from "./effect.js";
import type { GatewayEvent, ServerReport } from "./event.js";
import { readServersOften } from "./followers.js";
import type { BackendAnswer, ResponseHead } from "./messages.js";
import { mayStopLate } from "./migrationCalls.js";
import { requestFields } from "./requests.js";
import { type ExitForecast, forecastExit, nextLook, type OtherRuns, worksOn } from "./serverExits.js";
import { findListedRun, isOtherIncarnation, isSameByRecord } from "./serverIncarnations.js";
import { engineOf } from "./serverLoad.js";
import { type Attempt, type GatewayRequest, type GatewayState, serverEndsAt } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type AnswerEndChecked = Extract<GatewayEvent, { readonly kind: "answerEndChecked"; }>;

/** The check of an answer whose channel has ended. */
export interface EndCheck {
    readonly endedAt: Milliseconds;
    /** The whole answer; undefined for a stream. */
    readonly answer: BackendAnswer | undefined;
    /** When the server was asked last: its answer may be handled much later. */
    askedAt: Milliseconds;
    /** When the server is to be asked again; undefined while it is being asked. */
    nextAt: Milliseconds | undefined;
    /** How often it has given no report since it last gave one. */
    unanswered: number;
    /** The first report without the run that it can't be older than: what it lists goes on after the end of the run. */
    otherRuns: OtherRuns | undefined;
    /** From when on the record of a server shows which incarnation has answered a health check; undefined before one has. */
    recordShowsFrom: Milliseconds | undefined;
}

/** How servers can be asked whether they go on. */
export interface ServerChecks {
    readonly hasReport: boolean;
    /** Undefined if the service has none; then a server without reports can only be asked for a connection. */
    readonly healthCheckPath: string | undefined;
}

/** How the servers of a service can be asked whether they go on. */
export function serverChecksOf(state: GatewayState, service: ServiceName): ServerChecks {
    const healthCheckPath = state.configuration?.services.get(service)?.healthCheckPath;
    return { hasReport: engineOf(state, service) !== undefined, healthCheckPath };
}

/** What a check says of an answer: it may still list a run that has ended. */
export type EndVerdict = "complete" | "cut" | "unknown";

/** A report may be this old, and so list a run that has ended since. */
const longestReportAge: Milliseconds = 1_000;
const checkInterval: Milliseconds = 200;
/**
 * A server at its limit of connections resets some, and an answer may be lost; that of a process that has ended never comes.
 * The server is asked again at the next tick.
 */
const maximumUnanswered = 3;
/** No process has ended and started again, and answers, within this time. */
const shortestRestart: Milliseconds = 100;
/** A server's first record is stored this long after it answers at the latest. */
const recordDelay: Milliseconds = 100;
/** A server may stop a run this much before its time limit is over here: limits are sent in whole milliseconds, and clocks differ. */
const timeLimitMargin: Milliseconds = 20;

/** Whether only the end of its channel says that an answer is whole. A refusal needs no more to be one. */
export function endsUnframed({ endsWithChannel, isNotRun }: ResponseHead): boolean {
    return endsWithChannel && !isNotRun;
}

/** Whether a server that stops work at the end of a request's time limit may have ended the channel of its answer. */
export function endsWithTimeLimit(request: GatewayRequest, now: Milliseconds): boolean {
    return now >= serverEndsAt(request) - timeLimitMargin;
}

/**
 * Asks the server of an answer whose channel has ended for its report.
 *
 * @param answer the whole answer; undefined for a stream
 */
export function startEndCheck(transaction: Transaction, attempt: Attempt, answer?: BackendAnswer): void {
    const { now } = transaction;
    attempt.endCheck = {
        endedAt: now,
        answer,
        askedAt: now,
        nextAt: undefined,
        unanswered: 0,
        otherRuns: undefined,
        recordShowsFrom: undefined,
    };
    askForReport(transaction, attempt, attempt.endCheck);
}

/** Asks again if that is due. */
export function continueEndCheck(transaction: Transaction, attempt: Attempt): void {
    const { endCheck } = attempt;
    if (endCheck?.nextAt !== undefined && transaction.now >= endCheck.nextAt) {
        askForReport(transaction, attempt, endCheck);
    }
}

function askForReport({ now, effects }: Transaction, { id, server, serverChecks }: Attempt, endCheck: EndCheck): void {
    endCheck.askedAt = now;
    endCheck.nextAt = undefined;
    const { id: backendServer, address } = server.record;
    effects.push({ kind: "checkAnswerEnd", attemptId: id, backendServer, address, ...serverChecks });
}

/** Handles an answer of the server, or that none came. Returns what it says of the request's answer. */
export function handleEndReport(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    endCheck: EndCheck,
    { report: answer }: AnswerEndChecked,
): EndVerdict {
    const { now } = transaction;
    const report = answer !== undefined && isByIncarnation(attempt, answer) ? answer : undefined;
    endCheck.unanswered = report === undefined ? endCheck.unanswered + 1 : 0;
    const exit = forecastExit(transaction, attempt.server, endCheck.endedAt, report?.isLeaving === true);
    const others = otherRunsIn(request, attempt, endCheck, report);
    const excludedFrom = exitExcludedFrom(endCheck, exit, others);
    endCheck.otherRuns ??= others;
    const ending = judgeEnd(request, attempt, endCheck, report, excludedFrom);
    const needsRecord = ending === "complete" && statesStartInRecordOnly(attempt);
    const verdict = needsRecord ? judgeByRecord(transaction, attempt, endCheck) : ending;
    logDecision(transaction, "info", "answer_end_checked", {
        ...requestFields(transaction, request),
        server: attempt.server.record.id,
        attempt: attempt.id,
        verdict,
        endAge: Math.round(now - endCheck.endedAt),
        unanswered: endCheck.unanswered,
        ...exit.fields,
        serverStartedAt: attempt.server.record.startedAt,
        reportStartedAt: report?.startedAt,
        receivedEvents: request.eventCount,
        mayStopLate: mayStopLate(request, attempt),
        receivedBytes: endCheck.answer?.body.length,
        ...listedFields(request, report),
    });
    if (verdict !== "unknown") {
        return verdict;
    }
    if (report === undefined) {
        endCheck.nextAt = now;
    }
    else {
        const isListed = findListedRun(report, request.head) !== undefined;
        endCheck.nextAt = isListed || needsRecord ? now + checkInterval : nextQuestionAt(endCheck, excludedFrom, now);
    }
    return verdict;
}

/**
 * The other runs in a report that no longer lists the run of an attempt; undefined of a report that may be from before the run, or
 * that lists it.
 */
function otherRunsIn(
    { head }: GatewayRequest,
    { firstEventAt = Infinity }: Attempt,
    { askedAt }: EndCheck,
    report: ServerReport | undefined,
): OtherRuns | undefined {
    const isOfRun = askedAt - firstEventAt > longestReportAge;
    return report?.runs === undefined || !isOfRun || findListedRun(report, head) !== undefined
        ? undefined
        : { askedAt, runs: report.runs };
}

/** From when on an answer of the server excludes its exit, by its drain limit or by the runs that it works on. */
function exitExcludedFrom(endCheck: EndCheck, exit: ExitForecast, others: OtherRuns | undefined): Milliseconds {
    const { endedAt, otherRuns } = endCheck;
    return otherRuns !== undefined && others !== undefined && worksOn(otherRuns, others) ? endedAt : exit.excludedFrom;
}

/** When a server is to be asked again that has ended a run, and may have ended it by its exit. */
function nextQuestionAt({ otherRuns }: EndCheck, excludedFrom: Milliseconds, now: Milliseconds): Milliseconds {
    return otherRuns === undefined
        ? excludedFrom
        : Math.min(excludedFrom, Math.max(nextLook(otherRuns), now + checkInterval));
}

function listedFields({ head }: GatewayRequest, report: ServerReport | undefined): DecisionFields {
    return { listedEvents: findListedRun(report, head)?.events, listedRuns: report?.runs?.length };
}

/**
 * Whether an answer tells of an incarnation: it is no refusal, and a report states a start if the server's record does. A
 * health check tells of none.
 */
function isByIncarnation({ server, serverChecks }: Attempt, { isRefused, startedAt }: ServerReport): boolean {
    const lacksStart = serverChecks.hasReport && startedAt === undefined && server.record.startedAt !== undefined;
    return isRefused !== true && !lacksStart;
}

/** Whether only the record of a server tells its incarnations apart: its health checks don't. */
function statesStartInRecordOnly({ server, serverChecks }: Attempt): boolean {
    return !serverChecks.hasReport && server.record.startedAt !== undefined;
}

/** Judges by its record whether the server that has answered a health check is the incarnation that had the run. */
function judgeByRecord(transaction: Transaction, { server }: Attempt, endCheck: EndCheck): EndVerdict {
    const { state, now } = transaction;
    const hasAnsweredAtOnce = now - endCheck.endedAt < shortestRestart;
    endCheck.recordShowsFrom ??= hasAnsweredAtOnce ? -Infinity : now + recordDelay;
    const isSame = isSameByRecord(state, server, endCheck.recordShowsFrom);
    if (isSame === undefined) {
        readServersOften(transaction, now + checkInterval);
        return "unknown";
    }
    return isSame ? "complete" : "cut";
}

/**
 * @param report undefined if the server did not answer
 * @param excludedFrom from when on an answer of the server excludes that its exit has ended a stream
 */
function judgeEnd(
    request: GatewayRequest,
    attempt: Attempt,
    { endedAt, answer, askedAt, unanswered }: EndCheck,
    report: ServerReport | undefined,
    excludedFrom: Milliseconds,
): EndVerdict {
    const { head, eventCount } = request;
    if (report === undefined) {
        return unanswered < maximumUnanswered ? "unknown" : "cut";
    }
    if (isOtherIncarnation(attempt.server.record.startedAt, report.startedAt)) {
        return "cut";
    }
    const run = findListedRun(report, head);
    if (run === undefined) {
        // The report lists a run that was stopped no longer either.
        if (mayStopLate(request, attempt)) {
            return "cut";
        }
        // A whole answer is not kept back for as long.
        return answer === undefined && askedAt < excludedFrom ? "unknown" : "complete";
    }
    const hasMoreEvents = answer === undefined && run.events > eventCount;
    const goesOn = hasMoreEvents || askedAt - endedAt >= longestReportAge;
    return goesOn ? "cut" : "unknown";
}

/** The request of an attempt whose end is being checked, if it still waits for it. */
export function findCheckedAttempt(
    { state }: Transaction,
    attemptId: AttemptId,
): { readonly request: GatewayRequest; readonly attempt: Attempt; readonly endCheck: EndCheck; } | undefined {
    const request = state.attempts.get(attemptId);
    const attempt = request?.attempt;
    return request === undefined || attempt?.endCheck === undefined
        ? undefined
        : { request, attempt, endCheck: attempt.endCheck };
}
