/**
 * How long a report can have been under way. Each report echoes the newest one that its sender has of its receiver, so that the
 * receiver can tell by its own clock: the clocks of two processes are never compared.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { PeerReport, ReportEcho } from "./peerReport.js";
import type { Peer } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The transmission from which on a report is logged as late. */
const lateReportThreshold: Milliseconds = 500;
const lateReportLogInterval: Milliseconds = 1_000;

/** What the next report to a peer echoes; undefined while none of its reports was handled on this link. */
export function echoFor({ heard }: Peer, now: Milliseconds): ReportEcho | undefined {
    return heard === undefined ? undefined : { sentAt: heard.sentAt, heldFor: now - heard.handledAt };
}

/** Records a peer's report, which the next reports to it echo. */
export function recordHeard(peer: Peer, { sentAt }: PeerReport, now: Milliseconds): void {
    if (sentAt !== undefined && sentAt >= (peer.heard?.sentAt ?? -Infinity)) {
        peer.heard = { sentAt, handledAt: now };
    }
}

/**
 * The longest that a report can have been under way, from its creation until it is handled: the time since the report of this
 * gateway that it echoes, less the time that the sender had that one. Only durations on one clock each are compared.
 * Undefined without an echo, as in the first report on a link and from gateways of an earlier version.
 */
export function longestTransmission({ echo }: PeerReport, now: Milliseconds): Milliseconds | undefined {
    const transmission = echo === undefined ? undefined : now - echo.sentAt - echo.heldFor;
    // An echo of what this process has not sent yet was meant for an earlier one.
    return transmission === undefined || transmission < 0 ? undefined : transmission;
}

/** Logs a report that may have been under way for long, at most once a second for each peer. */
export function logLateReport(
    transaction: Transaction,
    peer: Peer,
    report: PeerReport,
    transmission: Milliseconds | undefined,
): void {
    const { now } = transaction;
    const isLate = transmission !== undefined && transmission >= lateReportThreshold;
    if (!isLate || now - peer.lateReportLoggedAt < lateReportLogInterval) {
        return;
    }
    peer.lateReportLoggedAt = now;
    logDecision(transaction, "info", "peer_report_late", {
        peer: peer.address,
        transmission: Math.round(transmission),
        sinceLink: Math.round(now - peer.openedAt),
        records: report.records.length,
        items: report.topics.reduce((sum, { items }) => sum + items.length, 0),
    });
}
