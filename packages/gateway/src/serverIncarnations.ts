/**
 * Servers that restart under the same id. A restarted server has no data and no knowledge from before, so what is kept
 * by its id ends, and the runs that it had are lost.
 */
import { createServerHealth } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import type { BackendRecord, BackendServer } from "./backendServers.js";
import type { ReportedRun, ServerReport } from "./event.js";
import { recountLoad } from "./serverLoad.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";

/**
 * Events of a run that arrived before its server restarted are read within this time: two ticks, in which all sockets
 * are read.
 */
const drainTime: Milliseconds = 100;
/** A record reaches this gateway within this time of the server's start: a heartbeat and a read. */
const recordDelay: Milliseconds = 3_000;
/** A run that has not begun may wait in a queue that the report of its server does not list. */
const beginTimeout: Milliseconds = 1_200;

/**
 * Whether two starts are certain to be of different incarnations: servers of some platforms do not report theirs. Which one is
 * later does not follow, since a server's clock may go back.
 */
export function isOtherIncarnation(start: BackendRecord["startedAt"], other: BackendRecord["startedAt"]): boolean {
    return start !== undefined && other !== undefined && start !== other;
}

/** Whether a server is known to have restarted since it was in the view in this form. */
export function isSuperseded({ servers }: GatewayState, { record }: BackendServer): boolean {
    return isOtherIncarnation(record.startedAt, servers.get(record.id)?.record.startedAt);
}

/**
 * Whether a server is still in the form in which it was in the view, by its record.
 *
 * @param asOf how new the view has to be
 * @returns undefined if the view is older
 */
export function isSameByRecord(
    state: GatewayState,
    server: BackendServer,
    asOf: Milliseconds,
): boolean | undefined {
    if (isSuperseded(state, server)) {
        return false;
    }
    return (state.followers.backendServers.freshAsOf ?? -Infinity) >= asOf ? true : undefined;
}

/**
 * Whether the run of an attempt was on an earlier incarnation of its server. It is `uncertain` if the request may have
 * been sent after the restart, before this gateway learned of it, to the same address; a report of the server then tells.
 * Until the events that arrived earlier have been forwarded, it is `current`.
 *
 * @example
 * if (runFate(state, attempt, now) === "lost") { loseRestartedRun(transaction, request, attempt); }
 */
export function runFate(
    state: GatewayState,
    { server, startedAt, lastActivityAt }: Attempt,
    now: Milliseconds,
): "current" | "uncertain" | "lost" {
    if (!isSuperseded(state, server)) {
        return "current";
    }
    const known = state.servers.get(server.record.id);
    const restart = known?.restart;
    if (now - Math.max(lastActivityAt, restart?.learnedAt ?? -Infinity) < drainTime) {
        return "current";
    }
    const hasMoved = known?.record.address !== server.record.address;
    const isEarlier = restart === undefined || startedAt < restart.previousHeartbeatNotBefore - recordDelay;
    return hasMoved || isEarlier ? "lost" : "uncertain";
}

/**
 * Whether a report shows that the run of an attempt was lost when its server restarted: a later incarnation sent it and
 * does not list the run. A run that has not begun counts as lost only if it may run again, since it may be queued.
 */
export function isLostByReport(
    { head, route }: GatewayRequest,
    { server, firstEventAt, lastActivityAt }: Attempt,
    report: ServerReport | undefined,
    now: Milliseconds,
): boolean {
    const hasRestarted = isOtherIncarnation(server.record.startedAt, report?.startedAt);
    if (report?.runs === undefined || !hasRestarted || findListedRun(report, head) !== undefined) {
        return false;
    }
    const silence = now - lastActivityAt;
    return firstEventAt === undefined ? route.canResume && silence >= beginTimeout : silence >= drainTime;
}

/**
 * Assigns the attempts that a report of a restarted server lists to that incarnation: they were sent after the restart.
 */
export function adoptListedRuns(state: GatewayState, id: BackendServerId, report: ServerReport | undefined): void {
    const known = state.servers.get(id);
    if (known === undefined || report === undefined || report.startedAt !== known.record.startedAt) {
        return;
    }
    const adopted = [...state.attempts.values()].flatMap(({ head, attempt }) =>
        attempt?.server.record.id === id && isSuperseded(state, attempt.server)
            && findListedRun(report, head) !== undefined
            ? [attempt]
            : []
    );
    adopted.forEach(attempt => attempt.server = known);
    if (adopted.length > 0) {
        recountLoad(state, id);
    }
}

/** The run of a request that a report lists. */
export function findListedRun(
    report: ServerReport | undefined,
    { callerAttemptId }: GatewayRequest["head"],
): ReportedRun | undefined {
    return report?.runs?.find(run => run.callerAttemptId === callerAttemptId);
}

/** Ends all that is kept by the id of a server whose new incarnation was registered. */
export function forgetEarlierIncarnation(state: GatewayState, id: BackendServerId): void {
    state.health.set(id, createServerHealth());
    state.requestLimits.delete(id);
    state.pausedUntil.delete(id);
    state.liveness.delete(id);
    state.coldServers.statements.delete(id);
    for (const request of state.requests.values()) {
        request.triedServers.delete(id);
        request.attempt?.failedTargets.delete(id);
    }
    recountLoad(state, id);
}
