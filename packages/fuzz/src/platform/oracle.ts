/**
 * The oracle for the users' platform: what callers saw against what workers ran. It knows nothing of how gateways work;
 * what their machines went through it hears from the schedule.
 */
import type { AnswerEffect, Clock, ServerRun, VirtualGateway } from "@verbenaspring/emulator";
import type { BackendCall, StreamEvent } from "@verbenaspring/gateway";
import type { Milliseconds, RequestId } from "@verbenaspring/model";
import { BrokenPromiseError, type PromiseName } from "../oracle.js";
import { isEarlyInStop, platformLimits } from "./bounds.js";
import { FaultRecord } from "./harm.js";
import { mustRunAtMostOnce, type RequestOrProbeKind, serviceOf } from "./works.js";

/** One request of a caller. */
export interface PlatformRequest {
    readonly callerAttemptId: string;
    readonly work: RequestOrProbeKind;
    readonly gateway: VirtualGateway;
    readonly sentAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
    /** Events of a whole answer; 0 for plain calls. */
    readonly events: number;
    lastEventNumber: number;
    lineage: string | undefined;
    end: PlatformRequestEnd | undefined;
}

/** How a request ended for its caller. */
export type PlatformRequestEnd = "whole" | "cut" | "left" | "gateway_gone" | {
    readonly failure: string;
    readonly isNotRun: boolean;
};

/** Watches callers and workers. */
export class PlatformOracle {
    readonly callerRequests: PlatformRequest[] = [];
    private readonly callerRequestsById = new Map<string, PlatformRequest>();
    private readonly callerRequestsByRequestId = new Map<string, PlatformRequest>();
    private readonly requestIds = new Map<PlatformRequest, RequestId>();
    private readonly runs = new Map<string, ServerRun[]>();
    private readonly arrivals: { readonly service: string; readonly at: Milliseconds; readonly isRepeat: boolean; }[] =
        [];
    private readonly arrivedAttempts = new Set<string>();
    readonly faults: FaultRecord;

    constructor(
        private readonly clock: Clock,
        private readonly noticedAt: (server: string) => Milliseconds | undefined,
    ) {
        this.faults = new FaultRecord(() => clock.now);
    }

    /** Breaks off the schedule. */
    fail(promise: PromiseName, detail: string): never {
        throw new BrokenPromiseError(promise, detail, this.clock.now);
    }

    /** Whether bounds of time hold for a process at a moment. */
    mustMeetTimeLimits({ name }: VirtualGateway, at: Milliseconds = this.clock.now): boolean {
        return this.faults.isFaultFree(name, at);
    }

    recordRequest(ask: PlatformRequest): void {
        this.callerRequests.push(ask);
        this.callerRequestsById.set(ask.callerAttemptId, ask);
    }

    /** Joins a request of a gateway to its ask. */
    recordRequestId(gateway: VirtualGateway, requestId: RequestId, ask: PlatformRequest): void {
        this.callerRequestsByRequestId.set(`${gateway.incarnation}/${requestId}`, ask);
        this.requestIds.set(ask, requestId);
    }

    /** The gateway's name for a request. */
    requestIdOf(ask: PlatformRequest): RequestId {
        return this.requestIds.get(ask)!;
    }

    /** A caller hears something. */
    recordAnswer(gateway: VirtualGateway, effect: AnswerEffect): void {
        const ask = this.callerRequestsByRequestId.get(`${gateway.incarnation}/${effect.requestId}`);
        if (ask === undefined || ask.end !== undefined) {
            return;
        }
        switch (effect.kind) {
            case "answerHead":
                return;
            case "answerEvents":
                return effect.events.forEach(event => this.checkEvent(ask, event));
            case "answerEnd":
                this.checkWholeStream(ask);
                return this.end(ask, "whole");
            case "answerWhole":
                this.checkWholeAnswer(ask, effect);
                return this.end(ask, "whole");
            case "answerCut":
                return this.end(ask, "cut");
            case "answerFailure": {
                const { type, outcome } = effect.failure;
                return this.end(ask, { failure: type, isNotRun: outcome === "not_run" });
            }
        }
    }

    private checkEvent(ask: PlatformRequest, { id, bytes }: StreamEvent): void {
        const [, number, lineage] = /^id: (\d+)\ndata: (.*)\n\n$/.exec(Buffer.from(bytes).toString("utf8")) ?? [];
        const said = id ?? Number(number);
        if (!lineage.includes(`/${ask.callerAttemptId}/`)) {
            this.fail("whole_and_own_answer", `${ask.callerAttemptId} got an event of ${lineage}`);
        }
        if (said !== ask.lastEventNumber + 1) {
            this.fail(
                "events_once_in_order_one_run",
                `${ask.callerAttemptId} got ${said} after ${ask.lastEventNumber}`,
            );
        }
        const mayChangeRun = ask.work === "note";
        if (ask.lineage !== undefined && ask.lineage !== lineage && !mayChangeRun) {
            this.fail("events_once_in_order_one_run", `${ask.callerAttemptId} got ${lineage} after ${ask.lineage}`);
        }
        ask.lastEventNumber = said;
        ask.lineage = lineage;
    }

    private checkWholeStream({ callerAttemptId, lastEventNumber: lastEvent, events }: PlatformRequest): void {
        if (lastEvent !== events) {
            this.fail("whole_and_own_answer", `${callerAttemptId} ended with ${lastEvent} of ${events} events`);
        }
    }

    private checkWholeAnswer(
        ask: PlatformRequest,
        { answer }: Extract<AnswerEffect, { readonly kind: "answerWhole"; }>,
    ): void {
        const body = Buffer.from(answer.body).toString("utf8");
        if (answer.status === 200 && body !== `answer to ${ask.callerAttemptId}`) {
            this.fail("whole_and_own_answer", `${ask.callerAttemptId} got "${body}"`);
        }
    }

    private end(ask: PlatformRequest, end: PlatformRequestEnd): void {
        const { now } = this.clock;
        ask.end = end;
        if (typeof end === "object" && end.isNotRun && this.runsOf(ask).length > 0) {
            this.fail("not_run_is_true", `${ask.callerAttemptId} has run, and its caller is told ${end.failure}`);
        }
        if (now > ask.deadlineAt + platformLimits.answerSlack && !this.hadGatewayFault(ask)) {
            this.fail(
                "final_answer_in_time",
                `${ask.callerAttemptId} ended ${Math.round(now - ask.deadlineAt)} ms late`,
            );
        }
        const isLost = end === "cut" || end === "gateway_gone" || (typeof end === "object" && !end.isNotRun);
        if (isLost && this.isCutByStop(ask)) {
            this.fail("planned_stop_cuts_nothing", `${ask.callerAttemptId} was cut by a planned stop`);
        }
        if (end !== "whole" && end !== "left" && this.wasAnswerReady(ask)) {
            this.fail("ready_answers_are_delivered", `${ask.callerAttemptId} ended as ${JSON.stringify(end)}`);
        }
    }

    /** A worker had the whole answer for some time, and nothing stood in its way. */
    private wasAnswerReady(ask: PlatformRequest): boolean {
        const readyBefore = this.clock.now - platformLimits.readyAnswer;
        return this.faults.isSystemFaultFree(ask.sentAt)
            && this.runsOf(ask).some(({ isComplete, endedAt }) => isComplete && (endedAt ?? Infinity) < readyBefore);
    }

    /** A planned stop ended a request early, while nothing else went wrong. */
    private isCutByStop({ gateway, sentAt, deadlineAt: finishBy }: PlatformRequest): boolean {
        const { now } = this.clock;
        return isEarlyInStop(gateway.stopRequestedAt, now) && this.faults.isSystemFaultFree(sentAt) && now < finishBy;
    }

    private hadGatewayFault({ gateway, sentAt }: PlatformRequest): boolean {
        return this.faults.hadFaultSince(gateway.name, sentAt);
    }

    /** A worker was reached with a call. */
    recordArrival(gateway: VirtualGateway, call: BackendCall): void {
        const ask = this.callerRequestsById.get(call.head.callerAttemptId);
        const { now } = this.clock;
        const service = ask === undefined ? "plain" : serviceOf(ask.work);
        const isRepeat = this.arrivedAttempts.has(call.head.callerAttemptId);
        this.arrivedAttempts.add(call.head.callerAttemptId);
        this.arrivals.push({ service, at: now, isRepeat });
        const noticed = this.noticedAt(call.backendServer);
        if (noticed !== undefined && now > noticed + platformLimits.drain && this.mustMeetTimeLimits(gateway)) {
            this.fail(
                "leaving_gets_no_new_work",
                `${call.head.callerAttemptId} reached ${call.backendServer} ${
                    Math.round(now - noticed)
                } ms after its notice`,
            );
        }
    }

    /** A worker began a run. */
    recordRun(run: ServerRun): void {
        const ask = this.callerRequestsById.get(run.callerAttemptId);
        const earlier = this.runs.get(run.callerAttemptId) ?? [];
        this.runs.set(run.callerAttemptId, [...earlier, run]);
        if (ask === undefined) {
            this.fail("whole_and_own_answer", `${run.server} runs ${run.callerAttemptId}, which nobody asked for`);
        }
        if (run.service !== serviceOf(ask.work)) {
            this.fail("only_the_routes_service_runs", `${run.callerAttemptId} is run by ${run.service}`);
        }
        if (typeof ask.end === "object" && ask.end.isNotRun) {
            this.fail("not_run_is_true", `${run.callerAttemptId} runs after its caller was told ${ask.end.failure}`);
        }
        const fresh = [...earlier, run].filter(({ continues }) => !continues);
        if (mustRunAtMostOnce(ask.work) && fresh.length > 1) {
            this.fail("non_idempotent_at_most_once", `${run.callerAttemptId} has run ${fresh.length} times`);
        }
        if (run.continues) {
            this.clock.schedule(platformLimits.oldRunEnd, () => this.checkEarlierRunsEnded(ask, earlier));
        }
    }

    private checkEarlierRunsEnded(ask: PlatformRequest, earlier: readonly ServerRun[]): void {
        const atWork = earlier.find(({ endedAt }) => endedAt === undefined);
        if (atWork !== undefined && !this.hadGatewayFault(ask)) {
            this.fail("one_run_at_a_time", `${ask.callerAttemptId} is still at work at ${atWork.server}`);
        }
    }

    /** A caller closed its channel. */
    recordCallerLeft(ask: PlatformRequest): void {
        ask.end = "left";
        this.clock.schedule(platformLimits.leftCallerEnd, () => {
            const atWork = this.runsOf(ask).find(({ endedAt }) => endedAt === undefined);
            if (atWork !== undefined && !this.hadGatewayFault(ask)) {
                this.fail("left_caller_ends_work", `${ask.callerAttemptId} is still at work at ${atWork.server}`);
            }
        });
    }

    /** A gateway's process is gone, and its callers' channels with it. */
    recordGatewayGone(gateway: VirtualGateway): void {
        this.openRequests(gateway).forEach(ask => this.end(ask, "gateway_gone"));
    }

    private openRequests(gateway: VirtualGateway): PlatformRequest[] {
        return this.callerRequests.filter(ask => ask.gateway === gateway && ask.end === undefined);
    }

    private runsOf({ callerAttemptId }: PlatformRequest): readonly ServerRun[] {
        return this.runs.get(callerAttemptId) ?? [];
    }

    /** Checks that nobody waits past the deadline. */
    checkWaiting(): void {
        const late = this.callerRequests.find(ask =>
            ask.end === undefined && this.clock.now > ask.deadlineAt + platformLimits.answerSlack
            && !this.hadGatewayFault(ask)
        );
        if (late !== undefined) {
            this.fail("final_answer_in_time", `${late.callerAttemptId} has no final answer`);
        }
    }

    /** Checks that repeats kept to the budget that all gateways share. */
    checkBudget(): void {
        for (const service of ["plain", "engine"]) {
            const ofService = this.arrivals.filter(arrival => arrival.service === service);
            ofService.filter(({ isRepeat }) => isRepeat).forEach(({ at }) => this.checkWindow(service, ofService, at));
        }
    }

    private checkWindow(
        service: string,
        arrivals: readonly { readonly at: Milliseconds; readonly isRepeat: boolean; }[],
        end: Milliseconds,
    ): void {
        const { retryWindow, retryRatio, retrySlack } = platformLimits;
        const countRequests = (until: Milliseconds): number =>
            this.callerRequests.filter(({ sentAt, work }) =>
                sentAt > until - retryWindow && sentAt <= until && serviceOf(work) === service
            ).length;
        const repeats = arrivals.filter(({ at, isRepeat }) => isRepeat && at > end - retryWindow && at <= end).length;
        const requests = Math.max(...[0, 0.5, 1].map(back => countRequests(end - back * retryWindow)));
        if (repeats > retryRatio * requests + retrySlack) {
            this.fail("repeats_within_budget", `${service} got ${repeats} repeats for ${requests} requests`);
        }
    }
}
