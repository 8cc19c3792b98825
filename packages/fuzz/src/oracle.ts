/**
 * The oracle: what each caller saw against what each backend server ran. It knows nothing of how the system works.
 */
import type { Work } from "@verbenaspring/coordination";
import type { VirtualClock } from "@verbenaspring/emulator";
import type { EntryEffect } from "@verbenaspring/entry";
import type { BackendServerId, Milliseconds, RequestId, RunOutcome } from "@verbenaspring/model";

/** The promises that a violation is a breach of. */
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
    | "one_run_at_a_time"
    | "only_the_routes_service_runs"
    | "left_caller_ends_work"
    | "ready_answers_are_delivered"
    | "repeats_within_budget"
    | "configuration_in_force"
    | "serves_again"
    | "invariant";

/** A promise was broken. */
export class BrokenPromiseError extends Error {
    constructor(readonly promise: PromiseName, readonly detail: string, readonly at: Milliseconds) {
        super(`${promise} at ${Math.round(at)} ms: ${detail}`);
        this.name = "PromiseBroken";
    }
}

/** One request of a caller. A repeat of a keyed request is an ask of its own. */
export interface CallerRequest {
    readonly id: string;
    readonly kind: "stream" | "whole" | "lookup" | "confirm" | "keyed";
    readonly key: string | undefined;
    readonly length: number;
    readonly deadline: Milliseconds;
    readonly entrySlot: number;
    readonly entryIncarnation: string;
    requestId: RequestId;
    /** Tokens had before this request; a resumed answer goes on there. */
    readonly offset: number;
    readonly generation: string | undefined;
    readonly tokens: string[];
    cursor: {
        readonly generationId: string;
        readonly backendServer: BackendServerId;
        readonly sidecarIncarnation: string;
        readonly next: number;
    } | undefined;
    end: CallerRequestEnd | undefined;
    lastAnswerAt: Milliseconds;
    /** The entry was frozen or gone, or the caller didn't read, so nothing could be said in time. */
    isExempt: boolean;
}

/** How an ask ended. */
export type CallerRequestEnd =
    | { readonly kind: "whole"; }
    | { readonly kind: "response"; }
    | { readonly kind: "failure"; readonly type: string; readonly outcome: RunOutcome; }
    | { readonly kind: "left"; }
    | { readonly kind: "connection_lost"; };

const answerSlack: Milliseconds = 250;
const maxSilence: Milliseconds = 1_200;

/** Watches callers and backend servers. */
export class Oracle {
    readonly callerRequests = new Map<string, CallerRequest>();
    private readonly runs = new Map<string, number>();
    private readonly runCountsByKey = new Map<string, number>();
    private readonly callerRequestsByRequestId = new Map<RequestId, CallerRequest>();
    readonly leavingSince = new Map<BackendServerId, Milliseconds>();

    constructor(private readonly clock: VirtualClock) {}

    /** Breaks off the schedule with a violation. */
    fail(promise: PromiseName, detail: string): never {
        throw new BrokenPromiseError(promise, detail, this.clock.now);
    }

    /** A caller has asked. */
    recordRequest(ask: CallerRequest): void {
        this.callerRequests.set(ask.id, ask);
        this.callerRequestsByRequestId.set(ask.requestId, ask);
    }

    /** A backend server has begun to run an ask. */
    recordRun(askId: string, backendServer: BackendServerId, work: Work): void {
        const ask = this.callerRequests.get(askId)!;
        const runs = (this.runs.get(askId) ?? 0) + 1;
        this.runs.set(askId, runs);
        if (ask.end?.kind === "failure" && ask.end.outcome === "not_run") {
            this.fail("not_run_is_true", `${askId} runs on ${backendServer} after its caller was told it was not run`);
        }
        if (!work.idempotent && runs > 1) {
            this.fail("non_idempotent_at_most_once", `${askId} has run ${runs} times`);
        }
        if (ask.key !== undefined) {
            this.recordKeyRun(ask.key, askId);
        }
    }

    private recordKeyRun(key: string, askId: string): void {
        const runs = (this.runCountsByKey.get(key) ?? 0) + 1;
        this.runCountsByKey.set(key, runs);
        if (runs > 1) {
            this.fail("non_idempotent_at_most_once", `key ${key} has run ${runs} times, last for ${askId}`);
        }
    }

    /** An entry answers a caller. */
    recordAnswer(
        effect: Extract<EntryEffect, { readonly kind: `answer${string}`; readonly requestId: RequestId; }>,
    ): void {
        const ask = this.callerRequestsByRequestId.get(effect.requestId);
        if (ask === undefined || ask.end !== undefined) {
            return;
        }
        this.recordOutput(ask);
        switch (effect.kind) {
            case "answerTokens":
                return this.recordTokens(ask, effect);
            case "answerComment":
                return;
            case "answerEnd":
                this.checkCompleteness(ask, effect.count);
                return this.recordEnd(ask, { kind: "whole" });
            case "answerWhole":
                ask.tokens.push(...effect.texts);
                this.checkTokens(ask, 0);
                this.checkCompleteness(ask, effect.texts.length);
                return this.recordEnd(ask, { kind: "whole" });
            case "answerResponse":
                this.checkResponse(ask, effect.answer.body);
                return this.recordEnd(ask, { kind: "response" });
            case "answerFailure": {
                const { type, outcome } = effect.failure;
                return this.recordEnd(ask, { kind: "failure", type, outcome });
            }
        }
    }

    private recordOutput(ask: CallerRequest): void {
        const silence = this.clock.now - ask.lastAnswerAt;
        if (silence > maxSilence && !ask.isExempt) {
            this.fail("no_silence", `${ask.id} heard nothing for ${Math.round(silence)} ms`);
        }
        ask.lastAnswerAt = this.clock.now;
    }

    private recordTokens(ask: CallerRequest, effect: Extract<EntryEffect, { readonly kind: "answerTokens"; }>): void {
        const expected = ask.offset + ask.tokens.length;
        if (effect.from !== expected) {
            this.fail("tokens_once_in_order_one_generation", `${ask.id} has ${expected} tokens and got ${effect.from}`);
        }
        const before = ask.tokens.length;
        ask.tokens.push(...effect.texts);
        ask.cursor = { ...effect.generation, next: effect.from + effect.texts.length };
        this.checkTokens(ask, before);
    }

    private checkTokens(ask: CallerRequest, from: number): void {
        const generation = ask.generation ?? ask.tokens[0]?.split("/")[1];
        ask.tokens.slice(from).forEach((token, index) => {
            const [owner, madeBy, number] = token.split("/");
            if (owner !== ask.id.split("~")[0]) {
                this.fail("whole_and_own_answer", `${ask.id} got a token of ${owner}`);
            }
            if (madeBy !== generation) {
                this.fail("tokens_once_in_order_one_generation", `${ask.id} got tokens of ${generation} and ${madeBy}`);
            }
            if (Number(number) !== ask.offset + from + index) {
                this.fail(
                    "tokens_once_in_order_one_generation",
                    `${ask.id} got token ${number} as ${ask.offset + from + index}`,
                );
            }
        });
    }

    private checkCompleteness(ask: CallerRequest, count: number): void {
        if (count !== ask.length || ask.offset + ask.tokens.length !== ask.length) {
            this.fail(
                "whole_and_own_answer",
                `${ask.id} ended with ${ask.offset + ask.tokens.length} of ${ask.length} tokens`,
            );
        }
    }

    /** A repeat of a key may get the first one's answer; anyone else gets its own. */
    private checkResponse(ask: CallerRequest, body: string): void {
        const answered = this.callerRequests.get(body);
        const isOwn = body === ask.id || (ask.key !== undefined && answered?.key === ask.key);
        if (!isOwn) {
            this.fail("whole_and_own_answer", `${ask.id} got the response of ${body}`);
        }
    }

    private recordEnd(ask: CallerRequest, end: CallerRequestEnd): void {
        ask.end = end;
        if (end.kind === "failure" && end.outcome === "not_run" && (this.runs.get(ask.id) ?? 0) > 0) {
            this.fail("not_run_is_true", `${ask.id} has run, and its caller is told ${end.type} that it was not run`);
        }
        if (this.clock.now > ask.deadline + answerSlack && !ask.isExempt) {
            this.fail("final_answer_in_time", `${ask.id} ended ${Math.round(this.clock.now - ask.deadline)} ms late`);
        }
    }

    /** A sidecar hands work to its backend server. */
    recordStart(backendServer: BackendServerId, askId: string): void {
        const since = this.leavingSince.get(backendServer);
        if (since !== undefined && this.clock.now >= since) {
            this.fail(
                "leaving_gets_no_new_work",
                `${askId} started on ${backendServer}, leaving since ${Math.round(since)}`,
            );
        }
    }

    /** The callers of an entry that is gone. */
    loseConnections(entryIncarnation: string): void {
        for (const ask of this.openRequests(entryIncarnation)) {
            ask.end = { kind: "connection_lost" };
        }
    }

    /** The asks that wait at an entry. */
    openRequests(entryIncarnation: string): CallerRequest[] {
        return [...this.callerRequests.values()].filter(ask =>
            ask.entryIncarnation === entryIncarnation && ask.end === undefined
        );
    }

    /** Checks, at any time, that nobody who could be answered waits past the deadline or in silence. */
    checkWaiting(): void {
        for (const ask of this.callerRequests.values()) {
            if (ask.end !== undefined || ask.isExempt) {
                continue;
            }
            if (this.clock.now > ask.deadline + answerSlack) {
                this.fail("final_answer_in_time", `${ask.id} has no final answer after its deadline`);
            }
            if (this.clock.now - ask.lastAnswerAt > maxSilence) {
                this.fail("no_silence", `${ask.id} hears nothing`);
            }
        }
    }

    /** Checks, once faults have stopped, that everybody got a final answer. */
    checkAllEnded(): void {
        for (const ask of this.callerRequests.values()) {
            if (ask.end === undefined) {
                this.fail("final_answer_in_time", `${ask.id} never got a final answer`);
            }
        }
    }
}
