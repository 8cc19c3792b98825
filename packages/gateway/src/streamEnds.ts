/**
 * Decides whether a stream or a whole answer without framing is complete when its channel has ended. The kernel ends the
 * channels of a process that is killed in the same way, and accepts connections for one that does not run. So the server is
 * asked for its report: the incarnation that had the run has to answer, and no longer to list the run. A server without reports
 * has to answer a health check.
 */
import type { AttemptId, Milliseconds } from "@verbenaspring/model";
import type { GatewayEvent, ServerReport } from "./event.js";
import type { BackendAnswer, ResponseHead } from "./messages.js";
import { requestFields } from "./requests.js";
import { findListedRun, isOtherIncarnation } from "./serverIncarnations.js";
import { engineOf } from "./serverLoad.js";
import { type Attempt, type GatewayRequest, serverEndsAt } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type StreamEndChecked = Extract<GatewayEvent, { readonly kind: "streamEndChecked"; }>;

/** The check of an answer whose channel has ended. */
export interface EndCheck {
    readonly endedAt: Milliseconds;
    /** The whole answer; undefined for a stream. */
    readonly answer: BackendAnswer | undefined;
    /** When the server is to be asked again; undefined while it is being asked. */
    nextAt: Milliseconds | undefined;
    /** How often it did not answer. */
    unanswered: number;
}

/** What a check says of a stream: it may still list a run that has ended. */
export type EndVerdict = "complete" | "cut" | "unknown";

/** A report may be this old, and so list a run that has ended since. */
const longestReportAge: Milliseconds = 1_000;
const checkInterval: Milliseconds = 200;
/** A server may stop a run this much before its time limit is over here: limits are sent in whole milliseconds, and clocks differ. */
const timeLimitMargin: Milliseconds = 20;
/** An answer may be lost; that of a process that has ended never comes. */
const maximumUnanswered = 2;

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
export function startEndCheck(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    answer?: BackendAnswer,
): void {
    attempt.endCheck = { endedAt: transaction.now, answer, nextAt: undefined, unanswered: 0 };
    askForReport(transaction, request, attempt);
}

/** Asks again if that is due. */
export function continueEndCheck(transaction: Transaction, request: GatewayRequest, attempt: Attempt): void {
    const { endCheck } = attempt;
    if (endCheck?.nextAt !== undefined && transaction.now >= endCheck.nextAt) {
        endCheck.nextAt = undefined;
        askForReport(transaction, request, attempt);
    }
}

function askForReport({ state, effects }: Transaction, { service }: GatewayRequest, { id, server }: Attempt): void {
    effects.push({
        kind: "checkStreamEnd",
        attemptId: id,
        backendServer: server.record.id,
        address: server.record.address,
        hasReport: engineOf(state, service) !== undefined,
        healthCheckPath: state.configuration?.services.get(service)?.healthCheckPath,
    });
}

/** Handles an answer of the server, or that none came. Returns what it says of the stream. */
export function handleEndReport(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    endCheck: EndCheck,
    { report }: StreamEndChecked,
): EndVerdict {
    const { now } = transaction;
    endCheck.unanswered += report === undefined ? 1 : 0;
    const verdict = judgeEnd(request, attempt, endCheck, report, now);
    logDecision(transaction, verdict === "complete" ? "debug" : "info", "stream_end_checked", {
        ...requestFields(transaction, request),
        server: attempt.server.record.id,
        attempt: attempt.id,
        verdict,
        endAge: Math.round(now - endCheck.endedAt),
        unanswered: endCheck.unanswered,
        serverStartedAt: attempt.server.record.startedAt,
        reportStartedAt: report?.startedAt,
        receivedEvents: request.eventCount,
        receivedBytes: endCheck.answer?.body.length,
        listedEvents: findListedRun(report, request.head)?.events,
    });
    if (verdict !== "unknown") {
        return verdict;
    }
    if (report === undefined) {
        askForReport(transaction, request, attempt);
    }
    else {
        endCheck.nextAt = now + checkInterval;
    }
    return verdict;
}

function judgeEnd(
    { head, eventCount }: GatewayRequest,
    { server }: Attempt,
    { endedAt, answer, unanswered }: EndCheck,
    report: ServerReport | undefined,
    now: Milliseconds,
): EndVerdict {
    if (report === undefined) {
        return unanswered < maximumUnanswered ? "unknown" : "cut";
    }
    if (isOtherIncarnation(server.record.startedAt, report.startedAt)) {
        return "cut";
    }
    const run = findListedRun(report, head);
    if (run === undefined) {
        return "complete";
    }
    const hasMoreEvents = answer === undefined && run.events > eventCount;
    const goesOn = hasMoreEvents || now - endedAt >= longestReportAge;
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
