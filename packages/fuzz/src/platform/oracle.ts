/**
 * The oracle for the users' platform: what callers saw against what workers ran. It knows nothing of how gateways work;
 * what their machines went through it hears from the schedule.
 */
import type { AnswerEffect, Clock, ServerRun, VirtualGateway } from "@verbenaspring/emulator";
import type { BackendCall, StreamEvent } from "@verbenaspring/gateway";
import type { Milliseconds, RequestId } from "@verbenaspring/model";
import { PromiseBroken, type PromiseName } from "../oracle.js";
import { isEarlyInStop, platformLimits } from "./bounds.js";
import { FaultRecord } from "./harm.js";
import { mustRunAtMostOnce, type RequestOrProbeKind, serviceOf } from "./works.js";

/** One request of a caller. */
export interface PlatformAsk {
    readonly callerAttemptId: string;
    readonly work: RequestOrProbeKind;
    readonly gateway: VirtualGateway;
    readonly sentAt: Milliseconds;
    readonly finishBy: Milliseconds;
    /** Events of a whole answer; 0 for plain calls. */
    readonly events: number;
    lastEvent: number;
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
    readonly asks: PlatformAsk[] = [];
    private readonly asksById = new Map<string, PlatformAsk>();
    private readonly asksByRequest = new Map<string, PlatformAsk>();
    private readonly requestIds = new Map<PlatformAsk, RequestId>();
    private readonly runs = new Map<string, ServerRun[]>();
    private readonly arrivals: { readonly service: string; readonly at: Milliseconds; readonly isRepeat: boolean; }[] =
        [];
    private readonly arrived = new Set<string>();
    readonly harm: FaultRecord;

    constructor(
        private readonly clock: Clock,
        private readonly noticedAt: (server: string) => Milliseconds | undefined,
    ) {
        this.harm = new FaultRecord(() => clock.now);
    }

    /** Breaks off the schedule. */
    fail(promise: PromiseName, detail: string): never {
        throw new PromiseBroken(promise, detail, this.clock.now);
    }

    /** Whether bounds of time hold for a process at a moment. */
    mustMeetTimeLimits({ name }: VirtualGateway, at: Milliseconds = this.clock.now): boolean {
        return this.harm.isFaultFree(name, at);
    }

    noteAsk(ask: PlatformAsk): void {
        this.asks.push(ask);
        this.asksById.set(ask.callerAttemptId, ask);
    }

    /** Joins a request of a gateway to its ask. */
    nameRequest(gateway: VirtualGateway, requestId: RequestId, ask: PlatformAsk): void {
        this.asksByRequest.set(`${gateway.incarnation}/${requestId}`, ask);
        this.requestIds.set(ask, requestId);
    }

    /** The gateway's name for a request. */
    requestOf(ask: PlatformAsk): RequestId {
        return this.requestIds.get(ask)!;
    }

    /** A caller hears something. */
    noteAnswer(gateway: VirtualGateway, effect: AnswerEffect): void {
        const ask = this.asksByRequest.get(`${gateway.incarnation}/${effect.requestId}`);
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

    private checkEvent(ask: PlatformAsk, { id, bytes }: StreamEvent): void {
        const [, number, lineage] = /^id: (\d+)\ndata: (.*)\n\n$/.exec(Buffer.from(bytes).toString("utf8")) ?? [];
        const said = id ?? Number(number);
        if (!lineage.includes(`/${ask.callerAttemptId}/`)) {
            this.fail("whole_and_own_answer", `${ask.callerAttemptId} got an event of ${lineage}`);
        }
        if (said !== ask.lastEvent + 1) {
            this.fail("events_once_in_order_one_run", `${ask.callerAttemptId} got ${said} after ${ask.lastEvent}`);
        }
        const mayChangeRun = ask.work === "note";
        if (ask.lineage !== undefined && ask.lineage !== lineage && !mayChangeRun) {
            this.fail("events_once_in_order_one_run", `${ask.callerAttemptId} got ${lineage} after ${ask.lineage}`);
        }
        ask.lastEvent = said;
        ask.lineage = lineage;
    }

    private checkWholeStream({ callerAttemptId, lastEvent, events }: PlatformAsk): void {
        if (lastEvent !== events) {
            this.fail("whole_and_own_answer", `${callerAttemptId} ended with ${lastEvent} of ${events} events`);
        }
    }

    private checkWholeAnswer(
        ask: PlatformAsk,
        { answer }: Extract<AnswerEffect, { readonly kind: "answerWhole"; }>,
    ): void {
        const body = Buffer.from(answer.body).toString("utf8");
        if (answer.status === 200 && body !== `answer to ${ask.callerAttemptId}`) {
            this.fail("whole_and_own_answer", `${ask.callerAttemptId} got "${body}"`);
        }
    }

    private end(ask: PlatformAsk, end: PlatformRequestEnd): void {
        const { now } = this.clock;
        ask.end = end;
        if (typeof end === "object" && end.isNotRun && this.runsOf(ask).length > 0) {
            this.fail("not_run_is_true", `${ask.callerAttemptId} has run, and its caller is told ${end.failure}`);
        }
        if (now > ask.finishBy + platformLimits.answerSlack && !this.wasHarmed(ask)) {
            this.fail("final_answer_in_time", `${ask.callerAttemptId} ended ${Math.round(now - ask.finishBy)} ms late`);
        }
        const isLost = end === "cut" || end === "gateway_gone" || (typeof end === "object" && !end.isNotRun);
        if (isLost && this.isCutByStop(ask)) {
            this.fail("planned_stop_cuts_nothing", `${ask.callerAttemptId} was cut by a planned stop`);
        }
        if (end !== "whole" && end !== "left" && this.wasReady(ask)) {
            this.fail("ready_answers_are_delivered", `${ask.callerAttemptId} ended as ${JSON.stringify(end)}`);
        }
    }

    /** A worker had the whole answer for some time, and nothing stood in its way. */
    private wasReady(ask: PlatformAsk): boolean {
        const readyBefore = this.clock.now - platformLimits.readyAnswer;
        return this.harm.isSystemFaultFree(ask.sentAt)
            && this.runsOf(ask).some(({ isComplete, endedAt }) => isComplete && (endedAt ?? Infinity) < readyBefore);
    }

    /** A planned stop ended a request early, while nothing else went wrong. */
    private isCutByStop({ gateway, sentAt, finishBy }: PlatformAsk): boolean {
        const { now } = this.clock;
        return isEarlyInStop(gateway.stopRequestedAt, now) && this.harm.isSystemFaultFree(sentAt) && now < finishBy;
    }

    private wasHarmed({ gateway, sentAt }: PlatformAsk): boolean {
        return this.harm.hadFaultSince(gateway.name, sentAt);
    }

    /** A worker was reached with a call. */
    noteArrival(gateway: VirtualGateway, call: BackendCall): void {
        const ask = this.asksById.get(call.head.callerAttemptId);
        const { now } = this.clock;
        const service = ask === undefined ? "plain" : serviceOf(ask.work);
        const isRepeat = this.arrived.has(call.head.callerAttemptId);
        this.arrived.add(call.head.callerAttemptId);
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
    noteRun(run: ServerRun): void {
        const ask = this.asksById.get(run.callerAttemptId);
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
        const fresh = [...earlier, run].filter(({ continuesFromReplica: continues }) => !continues);
        if (mustRunAtMostOnce(ask.work) && fresh.length > 1) {
            this.fail("non_idempotent_at_most_once", `${run.callerAttemptId} has run ${fresh.length} times`);
        }
        if (run.continuesFromReplica) {
            this.clock.schedule(platformLimits.oldRunEnd, () => this.checkOldRuns(ask, earlier));
        }
    }

    private checkOldRuns(ask: PlatformAsk, earlier: readonly ServerRun[]): void {
        const atWork = earlier.find(({ endedAt }) => endedAt === undefined);
        if (atWork !== undefined && !this.wasHarmed(ask)) {
            this.fail("one_run_at_a_time", `${ask.callerAttemptId} is still at work at ${atWork.server}`);
        }
    }

    /** A caller closed its channel. */
    noteLeft(ask: PlatformAsk): void {
        ask.end = "left";
        this.clock.schedule(platformLimits.leftCallerEnd, () => {
            const atWork = this.runsOf(ask).find(({ endedAt }) => endedAt === undefined);
            if (atWork !== undefined && !this.wasHarmed(ask)) {
                this.fail("left_caller_ends_work", `${ask.callerAttemptId} is still at work at ${atWork.server}`);
            }
        });
    }

    /** A gateway's process is gone, and its callers' channels with it. */
    noteGone(gateway: VirtualGateway): void {
        this.openAsks(gateway).forEach(ask => this.end(ask, "gateway_gone"));
    }

    private openAsks(gateway: VirtualGateway): PlatformAsk[] {
        return this.asks.filter(ask => ask.gateway === gateway && ask.end === undefined);
    }

    private runsOf({ callerAttemptId }: PlatformAsk): readonly ServerRun[] {
        return this.runs.get(callerAttemptId) ?? [];
    }

    /** Checks that nobody waits past the deadline. */
    checkWaiting(): void {
        const late = this.asks.find(ask =>
            ask.end === undefined && this.clock.now > ask.finishBy + platformLimits.answerSlack && !this.wasHarmed(ask)
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
            this.asks.filter(({ sentAt, work }) =>
                sentAt > until - retryWindow && sentAt <= until && serviceOf(work) === service
            ).length;
        const repeats = arrivals.filter(({ at, isRepeat }) => isRepeat && at > end - retryWindow && at <= end).length;
        const requests = Math.max(...[0, 0.5, 1].map(back => countRequests(end - back * retryWindow)));
        if (repeats > retryRatio * requests + retrySlack) {
            this.fail("repeats_within_budget", `${service} got ${repeats} repeats for ${requests} requests`);
        }
    }
}
