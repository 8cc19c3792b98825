/**
 * The call that has a server copy a run's memory to another one, after stopping the run if it is to, and what its answers
 * show. {@link requestMigration} is the only one to make it.
 */
import type { BackendServer } from "./backendServers.js";
import type { DecisionFields } from "./effect.js";
import type { MigrationResult } from "./event.js";
import type { Attempt, GatewayRequest } from "./state.js";
import type { Transaction } from "./transaction.js";

const noRunStatus = 404;
const noRoomStatus = 503;

/** Has the server of a run copy its memory to a target, and stop it first if `isStopping`. */
export function requestMigration(
    { effects }: Transaction,
    { head, openStops }: GatewayRequest,
    { id, server }: Attempt,
    target: BackendServer,
    isStopping: boolean,
): void {
    if (isStopping) {
        openStops.set(server.record.id, (openStops.get(server.record.id) ?? 0) + 1);
    }
    effects.push({
        kind: "migrateRun",
        attemptId: id,
        callerAttemptId: head.callerAttemptId,
        sourceAddress: server.record.address,
        targetAddress: target.record.address,
        isStopping,
    });
}

/**
 * Records the answer to a request to stop a run. One without an answer may take effect later, and one that stopped a run may
 * have stopped a later run of the request at the same server, since both have the same name there.
 */
export function recordStopAnswer(
    { attempt, openStops }: GatewayRequest,
    { id, server }: Attempt,
    result: MigrationResult,
): void {
    const serverId = server.record.id;
    const isLaterRun = attempt !== undefined && attempt.id !== id && attempt.server.record.id === serverId;
    if (result.kind !== "failed" && !(isLaterRun && hasStoppedRun(result))) {
        openStops.set(serverId, Math.max(0, (openStops.get(serverId) ?? 0) - 1));
    }
}

/** Whether a run may end in the way of a stopped one though its server was not asked to stop just that run. */
export function mayStopLate({ openStops }: GatewayRequest, { server }: Attempt): boolean {
    return (openStops.get(server.record.id) ?? 0) > 0;
}

function hasStoppedRun(result: MigrationResult): boolean {
    return result.kind === "moved" || (hadNoRoom(result) && result.kind === "refused" && result.handle !== undefined);
}

/** Whether the server answered that it has no such run: it may have ended, or wait for a place. */
export function hasNoRun(result: MigrationResult): boolean {
    return result.kind === "refused" && result.status === noRunStatus;
}

/** Whether the target had no room for the memory, or could not be reached. A run that was to be stopped was stopped first. */
export function hadNoRoom(result: MigrationResult): boolean {
    return result.kind === "refused" && result.status === noRoomStatus;
}

/**
 * Whether the answer to a request to stop a run shows that it does not go on. Of a run that waits for a place its server
 * knows nothing, and without the name of what the server keeps of the run it may have refused the call itself.
 */
export function showsNoRun({ firstEventAt }: Attempt, result: MigrationResult): boolean {
    return hasStoppedRun(result) || (hasNoRun(result) && firstEventAt !== undefined);
}

/** The fields by which log lines state an answer. */
export function answerFields(result: MigrationResult, isStopping: boolean): DecisionFields {
    return {
        step: isStopping ? "stop" : "copy",
        result: result.kind,
        status: result.kind === "refused" ? result.status : undefined,
        detail: result.kind === "failed" ? result.detail : undefined,
    };
}
