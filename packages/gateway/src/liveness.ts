/**
 * Decides when the run of a silent stream is lost. A run that its engine preempted is silent too and continues later,
 * so an attempt is abandoned only if a probe shows that its server or its channel is dead.
 */
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { abandonAttempt, loseRestartedRun, sendElsewhere } from "./attempts.js";
import type { BackendRecord } from "./backendServers.js";
import { recordColdStatement } from "./coldServers.js";
import { settleLostRuns } from "./crashSuspects.js";
import type { GatewayEvent, ServerReport } from "./event.js";
import { recordLeavingNotice } from "./leavingServers.js";
import { findReplicaHolder, usableCopyHolder } from "./replicas.js";
import { canSendAgain } from "./sending.js";
import { adoptListedRuns, findListedRun, isLostByReport, isOtherIncarnation } from "./serverIncarnations.js";
import { engineOf } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type ServerProbed = Extract<GatewayEvent, { readonly kind: "serverProbed"; }>;

/** A server is probed after this time without a sign of life, if a stream has waited for it as long. */
const silenceTimeout: Milliseconds = 1_200;
/** A channel counts as dead if its run is more than this many events ahead of those received. */
const maximumEventsInFlight = 3;

/** Records that a server gave a sign of life. */
export function recordSignOfLife(state: GatewayState, id: BackendServerId, now: Milliseconds): void {
    const liveness = state.liveness.get(id);
    if (liveness === undefined) {
        state.liveness.set(id, { lastSignOfLifeAt: now, isProbing: false });
        return;
    }
    liveness.lastSignOfLifeAt = now;
}

/** Probes the server of a stream that has been silent for too long, if the stream could continue elsewhere. */
export function probeSilentServer(transaction: Transaction, request: GatewayRequest, attempt: Attempt): void {
    const { state, now } = transaction;
    if (!canContinueElsewhere(transaction, request, attempt) || !isSilent(attempt, now)) {
        return;
    }
    const { record } = attempt.server;
    const lastSignOfLifeAt = state.liveness.get(record.id)?.lastSignOfLifeAt ?? attempt.startedAt;
    if (now - lastSignOfLifeAt >= silenceTimeout) {
        requestProbe(transaction, record);
    }
}

/** Whether a run has been silent for too long, also since its request last returned to it. */
function isSilent({ lastActivityAt, returnedAt = -Infinity }: Attempt, now: Milliseconds): boolean {
    return now - Math.max(lastActivityAt, returnedAt) >= silenceTimeout;
}

/** Probes the server of an attempt that may be of an earlier incarnation, if its report can tell. */
export function probeRestartedServer(transaction: Transaction, { server: { record: { id } } }: Attempt): void {
    const { state, now } = transaction;
    const known = state.servers.get(id);
    const probedAt = state.liveness.get(id)?.restartProbedAt ?? -Infinity;
    if (known === undefined || engineOf(state, known.record.service) === undefined || now - probedAt < silenceTimeout) {
        return;
    }
    requestProbe(transaction, known.record);
    const liveness = state.liveness.get(id);
    if (liveness !== undefined) {
        liveness.restartProbedAt = now;
    }
}

/** Probes a server, unless a probe is under way or the server wants no calls. */
export function requestProbe(
    { state, now, effects }: Transaction,
    { id, address, service, startedAt }: BackendRecord,
): void {
    const liveness = state.liveness.get(id) ?? { lastSignOfLifeAt: -Infinity, isProbing: false };
    state.liveness.set(id, liveness);
    if (!liveness.isProbing && !isPaused(state, id, now)) {
        liveness.isProbing = true;
        const hasReport = engineOf(state, service) !== undefined;
        effects.push({ kind: "probeServer", backendServer: id, address, startedAt, hasReport });
    }
}

/** Handles the result of a probe. */
export function handleServerProbed(transaction: Transaction, { backendServer, startedAt, report }: ServerProbed): void {
    const { state, now } = transaction;
    if (isOtherIncarnation(startedAt, state.servers.get(backendServer)?.record.startedAt)) {
        // The probe was of an earlier incarnation, and says nothing about the present one.
        return;
    }
    const liveness = state.liveness.get(backendServer);
    if (liveness !== undefined) {
        liveness.isProbing = false;
    }
    logDecision(transaction, "info", "server_probed", { server: backendServer, isAlive: report !== undefined });
    if (report !== undefined) {
        recordSignOfLife(state, backendServer, now);
    }
    settleLostRuns(transaction, backendServer, report);
    const server = state.servers.get(backendServer);
    if (report !== undefined && server !== undefined) {
        recordColdStatement(transaction, server.record, report.coldRemaining);
    }
    if (report?.isLeaving === true && server !== undefined) {
        recordLeavingNotice(transaction, server.record);
    }
    adoptListedRuns(state, backendServer, report);
    for (const request of [...state.requests.values()]) {
        const { attempt } = request;
        if (attempt?.server.record.id !== backendServer) {
            continue;
        }
        if (isLostByReport(request, attempt, report, now)) {
            loseRestartedRun(transaction, request, attempt);
        }
        else {
            handleSilence(transaction, request, attempt, report);
        }
    }
}

/** Sends a stream elsewhere if a probe shows that its silent run or its channel is dead, and it can continue there. */
function handleSilence(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    report: ServerReport | undefined,
): void {
    const { head, route, eventCount } = request;
    if (
        !route.isStream || attempt.endCheck !== undefined || !isSilent(attempt, transaction.now)
        || !canContinueElsewhere(transaction, request, attempt) || !canSendAgain(transaction, request)
    ) {
        return;
    }
    const run = findListedRun(report, head);
    if (attempt.isStopRequested && report?.runs !== undefined && run === undefined) {
        return abandonAttempt(transaction, request, attempt);
    }
    const isRunning = run !== undefined && run.events > eventCount + maximumEventsInFlight;
    if (report === undefined || isRunning) {
        sendElsewhere(transaction, request, attempt, isRunning);
    }
}

/** Whether the stream can continue at another server. */
function canContinueElsewhere(transaction: Transaction, request: GatewayRequest, attempt: Attempt): boolean {
    const { copy } = attempt;
    const hasPlace = request.route.canResume || findReplicaHolder(transaction, request, attempt) !== undefined
        || (copy !== undefined && usableCopyHolder(transaction, request, attempt, copy) !== undefined);
    return request.isContinuable && hasPlace;
}
