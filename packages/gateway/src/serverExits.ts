/**
 * What shows that a server which leaves has ended a stream itself. Its exit may end its streams in the same way, and is due once
 * its drain limit is over. A server that exits works on no other run for long.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { type DrainEnd, drainEnd, earliestAcknowledgement } from "./drainLimit.js";
import type { DecisionFields } from "./effect.js";
import type { ReportedRun } from "./event.js";
import { isLeaving } from "./leavingServers.js";
import { isSuperseded } from "./serverIncarnations.js";
import type { Transaction } from "./transaction.js";

/** A server that exits may answer for this long after it has ended its streams. */
const exitTime: Milliseconds = 1_000;

/** A server that exits has ended all of its runs within this time. */
const runEndTime: Milliseconds = 300;

/** The other runs that a server listed after it had ended a stream. */
export interface OtherRuns {
    /** When the server was asked. */
    readonly askedAt: Milliseconds;
    readonly runs: readonly ReportedRun[];
}

/** When a server that has listed other runs is to be asked whether it works on. */
export function nextLook({ askedAt, runs }: OtherRuns): Milliseconds {
    return runs.length === 0 ? Infinity : askedAt + runEndTime;
}

/** Whether a server has worked on one of its runs for longer than it would in an exit. */
export function worksOn(before: OtherRuns, now: OtherRuns): boolean {
    return now.askedAt >= nextLook(before)
        && now.runs.some(({ callerAttemptId, events }) =>
            before.runs.some(run => run.callerAttemptId === callerAttemptId && run.events < events)
        );
}

/** What is known of the exit of a server at the end of a stream. */
export interface ExitForecast {
    /** From when on an answer of the server shows that the end of the stream was not its exit. */
    readonly excludedFrom: Milliseconds;
    /** What a log line states of it. */
    readonly fields: DecisionFields;
}

/**
 * Forecasts the exit of the server of a stream whose channel has ended.
 *
 * @param saysItLeaves whether the server states that it leaves, as it may do before its record
 */
export function forecastExit(
    transaction: Transaction,
    server: BackendServer,
    endedAt: Milliseconds,
    saysItLeaves: boolean,
): ExitForecast {
    if (!saysItLeaves && !isLeaving(transaction.state, server)) {
        return { excludedFrom: endedAt, fields: { mayExit: false } };
    }
    const drain = knownDrainEnd(transaction, server);
    const excludedFrom = endedAt + exitTime;
    if (drain === undefined) {
        return { excludedFrom, fields: { mayExit: true } };
    }
    const drainLeft = Math.round(drain.earliest - endedAt);
    const drainLeftAtMost = Math.round(drain.latest - endedAt);
    return {
        excludedFrom: endedAt > drain.latest
            ? excludedFrom
            : Math.min(excludedFrom, Math.max(endedAt, drain.earliest)),
        fields: { mayExit: true, drainLeft, drainLeftAtMost },
    };
}

/** When the drain limit of a server ends; undefined if that is not known. */
function knownDrainEnd(transaction: Transaction, server: BackendServer): DrainEnd | undefined {
    const { state, now } = transaction;
    const known = state.servers.get(server.record.id);
    if (known === undefined || isSuperseded(state, server)) {
        return undefined;
    }
    const { leavingSince = now, leavingNotBefore = earliestAcknowledgement(transaction) } = known;
    return drainEnd(state, { leavingSince, leavingNotBefore });
}
