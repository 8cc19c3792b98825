/**
 * The oracle for the users' platform. It compares what callers received with what backend servers ran, without any
 * knowledge of how gateways work. The schedule tells it which faults were injected.
 */
import {
    type AnswerEffect,
    type Clock,
    formatRunEvent,
    type ServerRun,
    type VirtualGateway,
} from "@verbenaspring/emulator";
import type { BackendCall, ResponseHead, StreamEvent } from "@verbenaspring/gateway";
import type { Milliseconds, RequestId } from "@verbenaspring/model";
import { BrokenPromiseError, type PromiseName } from "../oracle.js";
import { ColdServerOracle } from "./coldServerOracle.js";
import { ContactRecord } from "./contactRecord.js";
import { DeadlyWorkOracle } from "./deadlyWorkOracle.js";
import { EvacuationOracle } from "./evacuationOracle.js";
import { FaultRecord } from "./faultRecord.js";
import { isEarlyInStop, mustSurviveStop, platformLimits } from "./limits.js";
import { mustRunAtMostOnce, type RequestOrProbeKind, serviceOf } from "./requestKinds.js";
import { ServerLimitOracle } from "./serverLimitOracle.js";
import { ServerNoticeOracle } from "./serverNoticeOracle.js";
import { ServerPauseOracle } from "./serverPauseOracle.js";
import { mayGoOn, splitPieces } from "./streamPieces.js";
import { VersionSpreadOracle } from "./versionSpreadOracle.js";

/** A caller's request. */
export interface PlatformRequest {
    readonly callerAttemptId: string;
    readonly kind: RequestOrProbeKind;
    readonly gateway: VirtualGateway;
    readonly sentAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    /** Events of a complete answer; 0 for plain calls. */
    readonly events: number;
    lastEventNumber: number;
    /** Identifies the run that the last event came from; runs that continue it from a replica share it. */
    lineage: string | undefined;
    /** The software of the server that made its first event, or that of the request that it takes up. */
    softwareVersion: string | undefined;
    /** The attempt that got the first event of the stream that it takes up; undefined for other requests. */
    readonly firstAttemptId: string | undefined;
    end: PlatformRequestEnd | undefined;
}

/** How a request ended for its caller. */
export type PlatformRequestEnd = "whole" | "cut" | "left" | "gateway_gone" | {
    readonly failure: string;
    readonly isNotRun: boolean;
};

/** The failures with which a gateway says that the configuration doesn't allow a request. */
export const denials: ReadonlySet<string> = new Set(["route_not_found", "unauthenticated"]);

/** Records what callers receive and what backend servers run, and checks the promises that follow from it. */
export class PlatformOracle {
    readonly callerRequests: PlatformRequest[] = [];
    private readonly callerRequestsById = new Map<string, PlatformRequest>();
    private readonly callerRequestsByRequestId = new Map<string, PlatformRequest>();
    private readonly requestIds = new Map<PlatformRequest, RequestId>();
    private readonly runs = new Map<string, ServerRun[]>();
    private readonly arrivals: { readonly service: string; readonly at: Milliseconds; readonly isRepeat: boolean; }[] =
        [];
    /** Attempts of callers that have reached a backend server. */
    private readonly arrivedAttempts = new Set<string>();
    readonly faultRecord: FaultRecord;
    readonly serverLimits: ServerLimitOracle<VirtualGateway>;
    readonly contact: ContactRecord<VirtualGateway>;
    readonly evacuations: EvacuationOracle<VirtualGateway>;
    readonly coldServers: ColdServerOracle<VirtualGateway>;
    readonly versionSpread: VersionSpreadOracle<VirtualGateway>;
    readonly serverNotices = new ServerNoticeOracle<VirtualGateway>((promise, detail) => this.fail(promise, detail));
    readonly deadlyParts = new DeadlyWorkOracle(
        platformLimits.deadlyPart,
        (promise, detail) => this.fail(promise, detail),
    );
    readonly deadlyRequests = new DeadlyWorkOracle(
        platformLimits.deadlyRequest,
        (promise, detail) => this.fail(promise, detail),
    );
    readonly serverPauses = new ServerPauseOracle<VirtualGateway>(
        (promise, detail) => this.fail(promise, detail),
        ({ name }, since) => this.faultRecord.hadFaultSince(name, since - platformLimits.serverPauseReaction),
    );
    /** The backend server that each attempt of a caller reached last. */
    private readonly lastServers = new Map<string, string>();

    constructor(
        private readonly clock: Clock,
        /** When the store got a backend server's notice that it leaves, or deleted its registration for good. */
        private readonly drainPublishedAt: (server: string) => Milliseconds | undefined,
        /** The limit that a backend server declares now. */
        requestLimitOf: (server: string) => number | undefined,
        /** The gateway processes that are alive now. */
        gateways: () => readonly VirtualGateway[],
        /** Whether a backend server runs now. */
        private readonly isServerRunning: (server: string) => boolean,
    ) {
        const fail = (promise: PromiseName, detail: string): void => this.fail(promise, detail);
        this.faultRecord = new FaultRecord(() => clock.now);
        this.contact = new ContactRecord(() => clock.now, gateways);
        this.evacuations = new EvacuationOracle(this.contact, gateways, fail);
        this.coldServers = new ColdServerOracle(platformLimits.coldRate, this.contact, gateways, fail);
        this.versionSpread = new VersionSpreadOracle(this.contact, gateways, fail);
        this.serverLimits = new ServerLimitOracle(
            requestLimitOf,
            (promise, detail) => this.fail(promise, detail),
            ({ name }) => this.faultRecord.hadFaultSince(name, clock.now - platformLimits.faultRecovery),
        );
    }

    /**
     * Ends the schedule with a violation.
     *
     * @throws BrokenPromiseError always
     */
    fail(promise: PromiseName, detail: string): never {
        throw new BrokenPromiseError(promise, detail, this.clock.now);
    }

    /** Whether time limits apply to a gateway at a time: no fault affects it. */
    mustMeetTimeLimits({ name }: VirtualGateway, at: Milliseconds = this.clock.now): boolean {
        return this.faultRecord.isFaultFree(name, at);
    }

    /**
     * Whether a gateway must know what the store says: no fault affects it, or it has contact through the store or
     * through another gateway.
     */
    mustKnowStore(gateway: VirtualGateway, at: Milliseconds): boolean {
        return this.mustMeetTimeLimits(gateway, at) || this.contact.isInContact(gateway);
    }

    /** Records a fault of the path from a gateway to the server at an address. */
    recordServerPathFault(gateway: VirtualGateway, address: string, duration: Milliseconds): void {
        this.faultRecord.recordProcessFault(serverPathName(gateway, address), duration);
    }

    recordRequest(request: PlatformRequest): void {
        this.callerRequests.push(request);
        this.callerRequestsById.set(request.callerAttemptId, request);
    }

    /** Records the id under which a gateway handles a caller's request. */
    recordRequestId(gateway: VirtualGateway, requestId: RequestId, request: PlatformRequest): void {
        this.callerRequestsByRequestId.set(`${gateway.incarnation}/${requestId}`, request);
        this.requestIds.set(request, requestId);
    }

    /** The id under which the gateway handles a caller's request. */
    requestIdOf(request: PlatformRequest): RequestId {
        return this.requestIds.get(request)!;
    }

    /** Checks what a gateway sends to a caller. */
    recordAnswer(gateway: VirtualGateway, effect: AnswerEffect): void {
        const request = this.callerRequestsByRequestId.get(`${gateway.incarnation}/${effect.requestId}`);
        if (request === undefined || request.end !== undefined) {
            return;
        }
        switch (effect.kind) {
            case "answerHead":
                return this.recordInformed(request, effect.head);
            case "answerEvents":
                return effect.events.forEach(event => this.checkEvent(request, event));
            case "answerEnd":
                this.checkWholeStream(request);
                return this.recordEnd(request, "whole");
            case "answerWhole":
                this.recordInformed(request, effect.answer);
                this.checkWholeAnswer(request, effect);
                return this.recordEnd(request, "whole");
            case "answerCut":
                return this.recordEnd(request, "cut");
            case "answerFailure": {
                const { type, outcome } = effect.failure;
                return this.recordEnd(request, { failure: type, isNotRun: outcome === "not_run" });
            }
        }
    }

    private recordInformed({ gateway, callerAttemptId }: PlatformRequest, head: ResponseHead): void {
        const server = this.lastServers.get(callerAttemptId);
        if (server !== undefined && head.requestLimit !== undefined) {
            this.serverLimits.recordInformed(gateway, server, this.clock.now);
        }
        if (server !== undefined && head.isLeaving) {
            this.serverNotices.recordInformed(gateway, server, this.clock.now);
        }
    }

    private checkEvent(request: PlatformRequest, { id, bytes }: StreamEvent): void {
        const text = Buffer.from(bytes).toString("utf8");
        const { events: [event], rest } = splitPieces(text);
        if (event === undefined || rest !== "" || formatRunEvent(event) !== text) {
            this.fail("events_once_in_order_one_run", `${request.callerAttemptId} got ${JSON.stringify(text)}`);
        }
        const { softwareVersion, lineage } = event;
        const eventNumber = id === undefined ? event.id : Number(id);
        if (!lineage.includes(`/${request.callerAttemptId}/`)) {
            this.fail("whole_and_own_answer", `${request.callerAttemptId} got an event of ${lineage}`);
        }
        if (eventNumber !== request.lastEventNumber + 1) {
            this.fail(
                "events_once_in_order_one_run",
                `${request.callerAttemptId} got event ${eventNumber} after ${request.lastEventNumber}`,
            );
        }
        const mayChangeRun = request.kind === "note";
        if (request.lineage !== undefined && request.lineage !== lineage && !mayChangeRun) {
            this.fail(
                "events_once_in_order_one_run",
                `${request.callerAttemptId} got events of ${lineage} after ${request.lineage}`,
            );
        }
        const previous = { lineage: request.lineage, id: request.lastEventNumber };
        if (!mayGoOn(previous, event) || !this.runsOf(request).some(run => run.lineage === lineage)) {
            this.fail(
                "events_once_in_order_one_run",
                `${request.callerAttemptId} got event ${eventNumber} of ${lineage} after ${previous.id} of ${previous.lineage}`,
            );
        }
        request.softwareVersion ??= softwareVersion;
        if (request.softwareVersion !== softwareVersion) {
            this.fail(
                "one_software_version",
                `${request.callerAttemptId} got event ${eventNumber} of ${softwareVersion} after ${request.softwareVersion}`,
            );
        }
        request.lastEventNumber = eventNumber;
        request.lineage = lineage;
    }

    private checkWholeStream({ callerAttemptId, lastEventNumber, events }: PlatformRequest): void {
        if (lastEventNumber !== events) {
            this.fail("whole_and_own_answer", `${callerAttemptId} ended with ${lastEventNumber} of ${events} events`);
        }
    }

    private checkWholeAnswer(
        request: PlatformRequest,
        { answer }: Extract<AnswerEffect, { readonly kind: "answerWhole"; }>,
    ): void {
        const body = Buffer.from(answer.body).toString("utf8");
        if (answer.status === 200 && body !== `answer to ${request.callerAttemptId}`) {
            this.fail("whole_and_own_answer", `${request.callerAttemptId} got "${body}"`);
        }
    }

    private recordEnd(request: PlatformRequest, end: PlatformRequestEnd): void {
        const { now } = this.clock;
        request.end = end;
        if (typeof end === "object" && end.isNotRun && this.runsOf(request).length > 0) {
            this.fail("not_run_is_true", `${request.callerAttemptId} has run, but its caller got ${end.failure}`);
        }
        if (now > request.deadlineAt + platformLimits.answerSlack && !this.hadGatewayFault(request)) {
            this.fail(
                "final_answer_in_time",
                `${request.callerAttemptId} ended ${Math.round(now - request.deadlineAt)} ms late`,
            );
        }
        this.checkDenial(request, end);
        if (this.isLostInPlannedStop(request, end)) {
            this.fail("planned_stop_cuts_nothing", this.describeLoss(request));
        }
        if (end !== "whole" && end !== "left" && this.wasAnswerReady(request)) {
            this.fail("ready_answers_are_delivered", `${request.callerAttemptId} ended as ${JSON.stringify(end)}`);
        }
    }

    /** Checks that a request is not denied if every configuration allows it, as they all do but for probes. */
    private checkDenial({ kind, callerAttemptId }: PlatformRequest, end: PlatformRequestEnd): void {
        if (typeof end === "object" && denials.has(end.failure) && kind !== "probe") {
            this.fail("allowed_requests_are_not_denied", `${callerAttemptId} got ${end.failure}`);
        }
    }

    /**
     * Whether a backend server completed the answer longer ago than delivery may take, with the whole system free of
     * faults since the request.
     */
    private wasAnswerReady(request: PlatformRequest): boolean {
        const readyBefore = this.clock.now - platformLimits.readyAnswerDelivery;
        return this.faultRecord.isSystemFaultFree(request.sentAt)
            && this.runsOf(request).some(({ isComplete, endedAt }) =>
                isComplete && (endedAt ?? Infinity) < readyBefore
            );
    }

    /**
     * Whether a planned stop ended a request before its deadline although it may not, with the whole system free of
     * faults since the request. Until the last part of the stop a failure counts as well, unless the request has not run.
     */
    private isLostInPlannedStop(request: PlatformRequest, end: PlatformRequestEnd): boolean {
        const { gateway: { stopRequestedAt }, sentAt, deadlineAt } = request;
        const { now } = this.clock;
        if (now >= deadlineAt || !this.faultRecord.isSystemFaultFree(sentAt)) {
            return false;
        }
        const isCut = end === "cut" || end === "gateway_gone";
        if (isEarlyInStop(stopRequestedAt, now)) {
            return isCut || (typeof end === "object" && !end.isNotRun);
        }
        const lastRun = this.runsOf(request).at(-1);
        const workedUntil = lastRun && (lastRun.endedAt ?? now);
        return isCut && !this.hasServerBrokenOff(lastRun)
            && mustSurviveStop({ sentAt, stopRequestedAt, workedUntil }, now);
    }

    private describeLoss(request: PlatformRequest): string {
        const { callerAttemptId, kind, sentAt, gateway: { stopRequestedAt = 0 } } = request;
        const [sent, ended] = [sentAt, this.clock.now].map(at => Math.round(at - stopRequestedAt));
        const cause = this.hasServerBrokenOff(this.runsOf(request).at(-1)) ? " with its server" : "";
        return `${callerAttemptId} (${kind}) was cut by a planned stop${cause}, sent ${sent} and ended ${ended} ms after its begin`;
    }

    /** Whether a run has ended with its server. */
    private hasServerBrokenOff(run: ServerRun | undefined): boolean {
        return run?.endedAt !== undefined && !run.isComplete && !this.isServerRunning(run.server);
    }

    private hadGatewayFault({ gateway, sentAt }: PlatformRequest): boolean {
        return this.faultRecord.hadFaultSince(gateway.name, sentAt);
    }

    /** Records that a call reached a backend server, and checks that the server had not given notice long before. */
    recordArrival(gateway: VirtualGateway, call: BackendCall): void {
        const request = this.callerRequestsById.get(call.head.callerAttemptId);
        const { now } = this.clock;
        const service = request === undefined ? "plain" : serviceOf(request.kind);
        const isRepeat = this.arrivedAttempts.has(call.head.callerAttemptId);
        this.arrivedAttempts.add(call.head.callerAttemptId);
        this.arrivals.push({ service, at: now, isRepeat });
        this.lastServers.set(call.head.callerAttemptId, call.backendServer);
        this.serverLimits.recordArrival(gateway, call.backendServer, now);
        this.serverPauses.recordArrival(gateway, call.backendServer, now);
        this.serverNotices.checkArrival(gateway, call.backendServer, request?.sentAt ?? now);
        if (this.mustMeetTimeLimits(gateway)) {
            this.deadlyParts.recordArrival(call.head.sharedParts, now);
            this.deadlyRequests.recordArrival([call.head.target], now);
        }
        const drainPublishedAt = this.drainPublishedAt(call.backendServer);
        if (
            drainPublishedAt !== undefined && now > drainPublishedAt + platformLimits.drain
            && this.mustKnowStore(gateway, now)
            && !this.faultRecord.hadFaultSince(
                serverPathName(gateway, call.address),
                now - platformLimits.faultRecovery,
            )
        ) {
            this.fail(
                "leaving_gets_no_new_work",
                `${call.head.callerAttemptId} reached ${call.backendServer} ${
                    Math.round(now - drainPublishedAt)
                } ms after its notice or removal`,
            );
        }
    }

    /** Records a run that a backend server has begun, and checks that it was allowed. */
    recordRun(run: ServerRun): void {
        const request = this.callerRequestsById.get(run.callerAttemptId);
        const earlierRuns = this.runs.get(run.callerAttemptId) ?? [];
        this.runs.set(run.callerAttemptId, [...earlierRuns, run]);
        if (request === undefined) {
            this.fail("whole_and_own_answer", `${run.server} runs ${run.callerAttemptId}, which no caller requested`);
        }
        if (run.service !== serviceOf(request.kind)) {
            this.fail("only_the_routes_service_runs", `${run.callerAttemptId} is run by ${run.service}`);
        }
        if (typeof request.end === "object" && request.end.isNotRun) {
            this.fail(
                "not_run_is_true",
                `${run.callerAttemptId} runs after its caller was told ${request.end.failure}`,
            );
        }
        const freshRuns = [...earlierRuns, run].filter(({ continuesFromReplica }) => !continuesFromReplica);
        if (mustRunAtMostOnce(request.kind) && freshRuns.length > 1) {
            this.fail("non_idempotent_at_most_once", `${run.callerAttemptId} has run ${freshRuns.length} times`);
        }
        if (run.continuesFromReplica) {
            this.clock.schedule(
                platformLimits.supersededRunEnd,
                () => this.checkEarlierRunsEnded(request, earlierRuns),
            );
        }
    }

    private checkEarlierRunsEnded(request: PlatformRequest, earlierRuns: readonly ServerRun[]): void {
        const activeRun = earlierRuns.find(({ endedAt }) => endedAt === undefined);
        if (activeRun !== undefined && !this.hadGatewayFault(request)) {
            this.fail("one_run_at_a_time", `${request.callerAttemptId} is still running at ${activeRun.server}`);
        }
    }

    /** Records that a caller closed its channel. Its runs must end soon after. */
    recordCallerLeft(request: PlatformRequest): void {
        request.end = "left";
        this.clock.schedule(platformLimits.leftCallerEnd, () => {
            // A run that goes on after its channel has ended is not stopped by the end of another one.
            const activeRun = this.runsOf(request).find(({ endedAt, isDetached }) =>
                endedAt === undefined && isDetached !== true
            );
            if (activeRun !== undefined && !this.hadGatewayFault(request)) {
                this.fail(
                    "left_caller_ends_work",
                    `${request.callerAttemptId} is still running at ${activeRun.server}`,
                );
            }
        });
    }

    /** Ends the open requests of a gateway whose process is gone: their channels are closed. */
    recordGatewayGone(gateway: VirtualGateway): void {
        this.openRequests(gateway).forEach(request => this.recordEnd(request, "gateway_gone"));
    }

    private openRequests(gateway: VirtualGateway): PlatformRequest[] {
        return this.callerRequests.filter(request => request.gateway === gateway && request.end === undefined);
    }

    private runsOf({ callerAttemptId }: PlatformRequest): readonly ServerRun[] {
        return this.runs.get(callerAttemptId) ?? [];
    }

    /**
     * Records what gateways know by now. Is called several times a second.
     *
     * @param versionDue the version of the configuration that every gateway in contact must have applied by now;
     * undefined if none can be told
     */
    observeGateways(versionDue?: number): void {
        this.contact.observe();
        this.evacuations.observe();
        this.coldServers.observe(this.clock.now);
        this.versionSpread.observe(this.clock.now, versionDue);
    }

    /** Checks that no caller waits past its deadline, unless a fault affected its gateway. */
    checkWaiting(): void {
        const overdue = this.callerRequests.find(request =>
            request.end === undefined && this.clock.now > request.deadlineAt + platformLimits.answerSlack
            && !this.hadGatewayFault(request)
        );
        if (overdue !== undefined) {
            this.fail("final_answer_in_time", `${overdue.callerAttemptId} has no final answer after its deadline`);
        }
    }

    /** Checks that the repeated calls of all gateways together stayed within the retry budget. */
    checkBudget(): void {
        for (const service of ["plain", "engine"]) {
            const arrivals = this.arrivals.filter(arrival => arrival.service === service);
            arrivals.filter(({ isRepeat }) => isRepeat).forEach(({ at }) => this.checkWindow(service, arrivals, at));
        }
    }

    /**
     * Checks the repeats in the window that ends at a time. They are compared with the largest number of requests in
     * that window and in those half a window and a whole window earlier.
     */
    private checkWindow(
        service: string,
        arrivals: readonly { readonly at: Milliseconds; readonly isRepeat: boolean; }[],
        end: Milliseconds,
    ): void {
        const { retryWindow, retryRatio, retrySlack } = platformLimits;
        const countRequests = (until: Milliseconds): number =>
            this.callerRequests.filter(({ sentAt, kind }) =>
                sentAt > until - retryWindow && sentAt <= until && serviceOf(kind) === service
            ).length;
        const repeats = arrivals.filter(({ at, isRepeat }) => isRepeat && at > end - retryWindow && at <= end).length;
        const requests = Math.max(...[0, 0.5, 1].map(windowsBack => countRequests(end - windowsBack * retryWindow)));
        if (repeats > retryRatio * requests + retrySlack) {
            this.fail("repeats_within_budget", `${service} got ${repeats} repeats for ${requests} requests`);
        }
    }
}

function serverPathName({ name }: VirtualGateway, address: string): string {
    return `${name} to ${address}`;
}
