/**
 * Checks the promises from what callers and workers saw.
 */
import type { ServerCall, ServerRun } from "@verbenaspring/emulator";
import {
    type AskedWork,
    HarmRecord,
    isEarlyInStop,
    isStreamed,
    type PlatformAskEnd,
    platformBounds,
    runsOnce,
    serviceOf,
} from "@verbenaspring/fuzz";
import type { SoakGateway } from "./soakWorld.js";

/** One request of a caller. */
export interface SoakRequest {
    readonly id: string;
    readonly work: AskedWork;
    readonly gateway: SoakGateway;
    readonly sentAt: number;
    /** When the caller opened the channel that it used. */
    channelOpenedAt: number;
    readonly finishBy: number;
    /** Events of a whole answer; 0 for plain calls. */
    readonly events: number;
    end: PlatformAskEnd | undefined;
}

/** An answer, as far as it came. */
export interface SoakResponse {
    readonly status: number;
    readonly isSealed: boolean;
    readonly body: string;
    /** Whether it ended as complete. */
    readonly isComplete: boolean;
}

/** A promise was broken. */
export interface Violation {
    readonly promise: string;
    readonly detail: string;
    readonly at: number;
}

const noRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const success = 200;
/** The rules allow half a second past the time of a request. */
const answerSlack = 500;
/** The rules give a request so long to be read before its channel may not end any more. */
const lossSlack = 200;

/** Watches one run. */
export class SoakOracle {
    readonly violations: Violation[] = [];
    readonly endCounts = new Map<string, number>();
    private readonly asks = new Map<string, SoakRequest>();
    private readonly runs = new Map<string, ServerRun[]>();
    /** Requests that were passed on to a worker. */
    private readonly arrived = new Set<string>();
    readonly faultRecord = new HarmRecord(() => performance.now());
    private readonly lags: { readonly at: number; readonly lag: number; }[] = [];

    /** @param checksTimes whether bounds of time are checked; a machine that is busy otherwise breaks them */
    constructor(
        private readonly checksTimes: boolean,
        private readonly noticedAt: (server: string) => number | undefined,
    ) {}

    fail(promise: string, detail: string): void {
        this.violations.push({ promise, detail, at: Math.round(performance.now()) });
    }

    /** The soak itself was held up, so that its own clock is that much less exact. */
    recordLag(lag: number): void {
        this.lags.push({ at: performance.now(), lag });
    }

    /** Whether bounds of time hold for a process at a moment. */
    isInTouch({ name }: SoakGateway, at: number): boolean {
        return this.checksTimes && this.faultRecord.isInTouch(name, at)
            && this.lagSince(at - platformBounds.contact) === 0;
    }

    private lagSince(since: number): number {
        return this.lags.filter(({ at }) => at >= since).reduce((sum, { lag }) => sum + lag, 0);
    }

    recordRequest(ask: SoakRequest): void {
        this.asks.set(ask.id, ask);
    }

    /** A caller's answer, or its channel, ended. */
    recordResponse(ask: SoakRequest, answer: SoakResponse | undefined): void {
        if (ask.end === "left") {
            return;
        }
        ask.end = this.judge(ask, answer);
        const name = typeof ask.end === "object" ? ask.end.failure : ask.end;
        this.endCounts.set(name, (this.endCounts.get(name) ?? 0) + 1);
        this.checkNotRun(ask);
        this.checkTime(ask);
    }

    private judge(ask: SoakRequest, answer: SoakResponse | undefined): PlatformAskEnd {
        if (answer === undefined) {
            return "cut";
        }
        const { status, isSealed, isComplete, body } = answer;
        if (status !== success) {
            return { failure: String(status), isNotRun: noRunStatuses.has(status) };
        }
        if (!isSealed) {
            this.fail("whole_and_own_answer", `${ask.id} got a success that no worker signed`);
        }
        if (isStreamed(ask.work)) {
            this.checkStream(ask, body, isComplete);
        }
        else if (isComplete && body !== `answer to ${ask.id}`) {
            this.fail("whole_and_own_answer", `${ask.id} got "${body}"`);
        }
        return isComplete ? "whole" : "cut";
    }

    private checkStream(ask: SoakRequest, body: string, isComplete: boolean): void {
        const events = [...body.matchAll(/id: (\d+)\ndata: (.*)\n\n/g)];
        const lineages = new Set(events.map(([, , lineage]) => lineage));
        const isInOrder = events.every(([, id], index) => Number(id) === index + 1);
        if (!isInOrder || (ask.work === "plan" && lineages.size > 1)) {
            this.fail(
                "events_once_in_order_one_run",
                `${ask.id} got ${events.map(([, id]) => id).join(",")} of ${[...lineages].join(" ")}`,
            );
        }
        if ([...lineages].some(lineage => !lineage.includes(`/${ask.id}/`))) {
            this.fail("whole_and_own_answer", `${ask.id} got events of ${[...lineages].join(" ")}`);
        }
        if (isComplete && events.length !== ask.events) {
            this.fail("whole_and_own_answer", `${ask.id} ended with ${events.length} of ${ask.events} events`);
        }
    }

    private checkNotRun({ id, end }: SoakRequest): void {
        if (typeof end === "object" && end.isNotRun && (this.runs.get(id) ?? []).length > 0) {
            this.fail("not_run_is_true", `${id} has run, and its caller got ${end.failure}`);
        }
    }

    private checkTime(ask: SoakRequest): void {
        const now = performance.now();
        const wasHarmed = this.faultRecord.wasHarmedSince(ask.gateway.name, ask.sentAt)
            || ask.channelOpenedAt <= ask.gateway.callersSilencedAt;
        const limit = ask.finishBy + answerSlack + this.lagSince(ask.sentAt);
        if (this.checksTimes && !wasHarmed && now > limit) {
            this.fail("final_answer_in_time", `${ask.id} ended ${Math.round(now - ask.finishBy)} ms late`);
        }
        const isLost = ask.end === "cut" || (typeof ask.end === "object" && !ask.end.isNotRun);
        // A request that crosses the close of its channel, and was passed on to nobody, may be sent again by its caller.
        const hasCrossedClose = !this.arrived.has(ask.id) && now - ask.sentAt <= lossSlack;
        const isEarly = isEarlyInStop(ask.gateway.stopRequestedAt, now);
        if (isLost && this.faultRecord.isCalm(ask.sentAt) && isEarly && !hasCrossedClose && now < ask.finishBy) {
            this.fail("planned_stop_cuts_nothing", `${ask.id} was lost in a planned stop`);
        }
    }

    /** A worker was reached with a call. */
    recordArrival({ callerAttemptId }: ServerCall, server: string): void {
        this.arrived.add(callerAttemptId);
        const noticed = this.noticedAt(server);
        const ask = this.asks.get(callerAttemptId);
        const now = performance.now();
        if (noticed === undefined || ask === undefined || now <= noticed + platformBounds.drain) {
            return;
        }
        // A relay before the workers, or the soak itself, may have held the call.
        const isCalm = this.faultRecord.isCalm(now) && this.isInTouch(ask.gateway, now);
        if (isCalm) {
            this.fail(
                "leaving_gets_no_new_work",
                `${callerAttemptId} reached ${server} ${Math.round(now - noticed)} ms after its notice`,
            );
        }
    }

    /** A worker began a run. */
    recordRun(run: ServerRun): void {
        const { callerAttemptId } = run;
        const ask = this.asks.get(callerAttemptId);
        const all = [...this.runs.get(callerAttemptId) ?? [], run];
        this.runs.set(callerAttemptId, all);
        if (ask === undefined) {
            return this.fail("whole_and_own_answer", `${run.server} runs ${callerAttemptId}, which nobody asked for`);
        }
        if (run.service !== serviceOf(ask.work)) {
            this.fail("only_the_routes_service_runs", `${callerAttemptId} is run by ${run.service}`);
        }
        const fresh = all.filter(({ continues }) => !continues);
        if (runsOnce(ask.work) && fresh.length > 1) {
            this.fail("non_idempotent_at_most_once", `${callerAttemptId} has run ${fresh.length} times`);
        }
        this.checkNotRun(ask);
    }

    /** Checks, once all is calm, that everybody got an end and that no worker is at work for nobody. */
    checkFinalState(): void {
        for (const ask of this.asks.values()) {
            if (ask.end === undefined) {
                this.fail("final_answer_in_time", `${ask.id} never ended`);
            }
            const atWork = this.runs.get(ask.id)?.find(({ endedAt }) => endedAt === undefined);
            if (atWork !== undefined) {
                this.fail("left_caller_ends_work", `${ask.id} is still at work at ${atWork.server}`);
            }
        }
    }
}
