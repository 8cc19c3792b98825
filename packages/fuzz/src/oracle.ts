/**
 * The oracle for entries and sidecars. It compares what each caller received with what each backend server ran, without
 * any knowledge of how the system works.
 */
import type { Work } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { EntryEffect } from "@verbenaspring/entry";
import type { BackendServerId, Milliseconds, RequestId, RunOutcome } from "@verbenaspring/model";

/** The promises of the system, by the names under which violations are reported and recorded. */
export type PromiseName =
    | "tokens_once_in_order_one_generation"
    | "whole_and_own_answer"
    | "not_run_is_true"
    | "non_idempotent_at_most_once"
    | "leaving_gets_no_new_work"
    | "planned_stop_cuts_nothing"
    | "configuration_never_reverts"
    | "final_answer_in_time"
    | "no_silence"
    | "state_is_bounded"
    | "events_once_in_order_one_run"
    | "one_software_version"
    | "one_run_at_a_time"
    | "only_the_routes_service_runs"
    | "left_caller_ends_work"
    | "ready_answers_are_delivered"
    | "repeats_within_budget"
    | "server_limit_kept"
    | "server_pause_kept"
    | "deadly_work_contained"
    | "configuration_in_force"
    | "allowed_requests_are_not_denied"
    | "evacuated_domain_gets_no_requests"
    | "cold_rate_kept"
    | "serves_again"
    | "invariant";

/** Thrown when a promise is broken. `at` is the virtual time in milliseconds. */
export class BrokenPromiseError extends Error {
    constructor(readonly promise: PromiseName, readonly detail: string, readonly at: Milliseconds) {
        super(`${promise} at ${Math.round(at)} ms: ${detail}`);
        this.name = "BrokenPromiseError";
    }
}

/** A caller's request. Each repetition of a request with an idempotency key is a request of its own. */
export interface CallerRequest {
    readonly id: string;
    readonly kind: "stream" | "whole" | "lookup" | "confirm" | "keyed";
    readonly key: string | undefined;
    readonly length: number;
    readonly deadlineAt: Milliseconds;
    readonly entrySlot: number;
    readonly entryIncarnation: string;
    requestId: RequestId;
    /** Tokens that the caller had before this request. A resumed answer continues there. */
    readonly offset: number;
    /** The generation that a resumed answer belongs to. */
    readonly generation: string | undefined;
    readonly tokens: string[];
    cursor: {
        readonly generationId: string;
        readonly backendServer: BackendServerId;
        readonly sidecarIncarnation: string;
        readonly next: number;
    } | undefined;
    end: CallerRequestEnd | undefined;
    lastOutputAt: Milliseconds;
    /** Whether time limits don't apply, because the entry was frozen while the request was open. */
    isExempt: boolean;
}

/** How a request ended for its caller. */
export type CallerRequestEnd =
    | { readonly kind: "whole"; }
    | { readonly kind: "response"; }
    | { readonly kind: "failure"; readonly type: string; readonly outcome: RunOutcome; }
    | { readonly kind: "left"; }
    | { readonly kind: "connection_lost"; };

/** How long after its deadline a request may still end. */
const answerSlack: Milliseconds = 250;
/** The longest pause between two outputs to a waiting caller. */
const maxSilence: Milliseconds = 1_200;

/** Records what callers receive and what backend servers run, and checks the promises that follow from it. */
export class Oracle {
    readonly callerRequests = new Map<string, CallerRequest>();
    private readonly runCounts = new Map<string, number>();
    private readonly runCountsByKey = new Map<string, number>();
    private readonly callerRequestsByRequestId = new Map<RequestId, CallerRequest>();
    /** Since when a backend server's sidecar knows that it is leaving and must start no new work. */
    readonly leavingSince = new Map<BackendServerId, Milliseconds>();

    constructor(private readonly clock: VirtualClock) {}

    /**
     * Ends the schedule with a violation.
     *
     * @throws BrokenPromiseError always
     */
    fail(promise: PromiseName, detail: string): never {
        throw new BrokenPromiseError(promise, detail, this.clock.now);
    }

    /** Registers a request that a caller sends. */
    recordRequest(request: CallerRequest): void {
        this.callerRequests.set(request.id, request);
        this.callerRequestsByRequestId.set(request.requestId, request);
    }

    /** Counts a run that a backend server has begun, and checks that it was allowed. */
    recordRun(callerRequestId: string, backendServer: BackendServerId, work: Work): void {
        const request = this.callerRequests.get(callerRequestId)!;
        const runs = (this.runCounts.get(callerRequestId) ?? 0) + 1;
        this.runCounts.set(callerRequestId, runs);
        if (request.end?.kind === "failure" && request.end.outcome === "not_run") {
            this.fail(
                "not_run_is_true",
                `${callerRequestId} runs on ${backendServer} after its caller was told that it did not run`,
            );
        }
        if (!work.idempotent && runs > 1) {
            this.fail("non_idempotent_at_most_once", `${callerRequestId} has run ${runs} times`);
        }
        if (request.key !== undefined) {
            this.recordKeyRun(request.key, callerRequestId);
        }
    }

    private recordKeyRun(key: string, callerRequestId: string): void {
        const runs = (this.runCountsByKey.get(key) ?? 0) + 1;
        this.runCountsByKey.set(key, runs);
        if (runs > 1) {
            this.fail("non_idempotent_at_most_once", `key ${key} has run ${runs} times, last for ${callerRequestId}`);
        }
    }

    /** Checks what an entry sends to a caller. */
    recordAnswer(
        effect: Extract<EntryEffect, { readonly kind: `answer${string}`; readonly requestId: RequestId; }>,
    ): void {
        const request = this.callerRequestsByRequestId.get(effect.requestId);
        if (request === undefined || request.end !== undefined) {
            return;
        }
        this.recordOutput(request);
        switch (effect.kind) {
            case "answerTokens":
                return this.recordTokens(request, effect);
            case "answerComment":
                return;
            case "answerEnd":
                this.checkCompleteness(request, effect.count);
                return this.recordEnd(request, { kind: "whole" });
            case "answerWhole":
                request.tokens.push(...effect.texts);
                this.checkTokens(request, 0);
                this.checkCompleteness(request, effect.texts.length);
                return this.recordEnd(request, { kind: "whole" });
            case "answerResponse":
                this.checkResponse(request, effect.answer.body);
                return this.recordEnd(request, { kind: "response" });
            case "answerFailure": {
                const { type, outcome } = effect.failure;
                return this.recordEnd(request, { kind: "failure", type, outcome });
            }
        }
    }

    private recordOutput(request: CallerRequest): void {
        const silence = this.clock.now - request.lastOutputAt;
        if (silence > maxSilence && !request.isExempt) {
            this.fail("no_silence", `${request.id} got no output for ${Math.round(silence)} ms`);
        }
        request.lastOutputAt = this.clock.now;
    }

    private recordTokens(
        request: CallerRequest,
        effect: Extract<EntryEffect, { readonly kind: "answerTokens"; }>,
    ): void {
        const expected = request.offset + request.tokens.length;
        if (effect.from !== expected) {
            this.fail(
                "tokens_once_in_order_one_generation",
                `${request.id} expected token ${expected} and got ${effect.from}`,
            );
        }
        const previousCount = request.tokens.length;
        request.tokens.push(...effect.texts);
        request.cursor = { ...effect.generation, next: effect.from + effect.texts.length };
        this.checkTokens(request, previousCount);
    }

    private checkTokens(request: CallerRequest, from: number): void {
        const generation = request.generation ?? request.tokens[0]?.split("/")[1];
        request.tokens.slice(from).forEach((token, index) => {
            const [owner, tokenGeneration, tokenIndex] = token.split("/");
            if (owner !== request.id.split("~")[0]) {
                this.fail("whole_and_own_answer", `${request.id} got a token of ${owner}`);
            }
            if (tokenGeneration !== generation) {
                this.fail(
                    "tokens_once_in_order_one_generation",
                    `${request.id} got tokens of ${generation} and ${tokenGeneration}`,
                );
            }
            if (Number(tokenIndex) !== request.offset + from + index) {
                this.fail(
                    "tokens_once_in_order_one_generation",
                    `${request.id} got token ${tokenIndex} as ${request.offset + from + index}`,
                );
            }
        });
    }

    private checkCompleteness(request: CallerRequest, count: number): void {
        if (count !== request.length || request.offset + request.tokens.length !== request.length) {
            this.fail(
                "whole_and_own_answer",
                `${request.id} ended with ${request.offset + request.tokens.length} of ${request.length} tokens`,
            );
        }
    }

    /** A request that repeats a key may get the first request's response; any other must get its own. */
    private checkResponse(request: CallerRequest, body: string): void {
        const answered = this.callerRequests.get(body);
        const isOwn = body === request.id || (request.key !== undefined && answered?.key === request.key);
        if (!isOwn) {
            this.fail("whole_and_own_answer", `${request.id} got the response of ${body}`);
        }
    }

    private recordEnd(request: CallerRequest, end: CallerRequestEnd): void {
        request.end = end;
        if (end.kind === "failure" && end.outcome === "not_run" && (this.runCounts.get(request.id) ?? 0) > 0) {
            this.fail("not_run_is_true", `${request.id} has run, but its caller got ${end.type} with outcome not_run`);
        }
        if (this.clock.now > request.deadlineAt + answerSlack && !request.isExempt) {
            this.fail(
                "final_answer_in_time",
                `${request.id} ended ${Math.round(this.clock.now - request.deadlineAt)} ms late`,
            );
        }
    }

    /** Checks that a sidecar which hands work to its backend server may still start new work. */
    recordStart(backendServer: BackendServerId, callerRequestId: string): void {
        const since = this.leavingSince.get(backendServer);
        if (since !== undefined && this.clock.now >= since) {
            this.fail(
                "leaving_gets_no_new_work",
                `${callerRequestId} started on ${backendServer}, leaving since ${Math.round(since)}`,
            );
        }
    }

    /** Ends the open requests of an entry that is gone: their connections are lost. */
    loseConnections(entryIncarnation: string): void {
        for (const request of this.openRequests(entryIncarnation)) {
            request.end = { kind: "connection_lost" };
        }
    }

    /** The requests at an entry that have not ended. */
    openRequests(entryIncarnation: string): CallerRequest[] {
        return [...this.callerRequests.values()].filter(request =>
            request.entryIncarnation === entryIncarnation && request.end === undefined
        );
    }

    /** Checks that no caller waits past its deadline or without output, unless it is exempt. */
    checkWaiting(): void {
        for (const request of this.callerRequests.values()) {
            if (request.end !== undefined || request.isExempt) {
                continue;
            }
            if (this.clock.now > request.deadlineAt + answerSlack) {
                this.fail("final_answer_in_time", `${request.id} has no final answer after its deadline`);
            }
            if (this.clock.now - request.lastOutputAt > maxSilence) {
                this.fail("no_silence", `${request.id} waits without output`);
            }
        }
    }

    /** Checks, once faults have ended, that every request got a final answer. */
    checkAllEnded(): void {
        for (const request of this.callerRequests.values()) {
            if (request.end === undefined) {
                this.fail("final_answer_in_time", `${request.id} never got a final answer`);
            }
        }
    }
}
