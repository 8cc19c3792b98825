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
export class PromiseBroken extends Error {
    constructor(readonly promise: PromiseName, readonly detail: string, readonly at: Milliseconds) {
        super(`${promise} at ${Math.round(at)} ms: ${detail}`);
        this.name = "PromiseBroken";
    }
}

/** One request of a caller. A repeat of a keyed request is an ask of its own. */
export interface Ask {
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
    end: AskEnd | undefined;
    lastHeard: Milliseconds;
    /** The entry was frozen or gone, or the caller didn't read, so nothing could be said in time. */
    isExcused: boolean;
}

/** How an ask ended. */
export type AskEnd =
    | { readonly kind: "whole"; }
    | { readonly kind: "response"; }
    | { readonly kind: "failure"; readonly type: string; readonly outcome: RunOutcome; }
    | { readonly kind: "left"; }
    | { readonly kind: "connection_lost"; };

const answerSlack: Milliseconds = 250;
const longestSilence: Milliseconds = 1_200;

/** Watches callers and backend servers. */
export class Oracle {
    readonly asks = new Map<string, Ask>();
    private readonly runs = new Map<string, number>();
    private readonly keyRuns = new Map<string, number>();
    private readonly askOfRequest = new Map<RequestId, Ask>();
    readonly refusesStartsSince = new Map<BackendServerId, Milliseconds>();

    constructor(private readonly clock: VirtualClock) {}

    /** Breaks off the schedule with a violation. */
    fail(promise: PromiseName, detail: string): never {
        throw new PromiseBroken(promise, detail, this.clock.now);
    }

    /** A caller has asked. */
    noteAsk(ask: Ask): void {
        this.asks.set(ask.id, ask);
        this.askOfRequest.set(ask.requestId, ask);
    }

    /** A backend server has begun to run an ask. */
    noteRun(askId: string, backendServer: BackendServerId, work: Work): void {
        const ask = this.asks.get(askId)!;
        const runs = (this.runs.get(askId) ?? 0) + 1;
        this.runs.set(askId, runs);
        if (ask.end?.kind === "failure" && ask.end.outcome === "not_run") {
            this.fail("not_run_is_true", `${askId} runs on ${backendServer} after its caller was told it was not run`);
        }
        if (!work.idempotent && runs > 1) {
            this.fail("non_idempotent_at_most_once", `${askId} has run ${runs} times`);
        }
        if (ask.key !== undefined) {
            this.noteKeyRun(ask.key, askId);
        }
    }

    private noteKeyRun(key: string, askId: string): void {
        const runs = (this.keyRuns.get(key) ?? 0) + 1;
        this.keyRuns.set(key, runs);
        if (runs > 1) {
            this.fail("non_idempotent_at_most_once", `key ${key} has run ${runs} times, last for ${askId}`);
        }
    }

    /** An entry answers a caller. */
    noteAnswer(
        effect: Extract<EntryEffect, { readonly kind: `answer${string}`; readonly requestId: RequestId; }>,
    ): void {
        const ask = this.askOfRequest.get(effect.requestId);
        if (ask === undefined || ask.end !== undefined) {
            return;
        }
        this.noteHeard(ask);
        switch (effect.kind) {
            case "answerTokens":
                return this.noteTokens(ask, effect);
            case "answerComment":
                return;
            case "answerEnd":
                this.checkWhole(ask, effect.count);
                return this.noteEnd(ask, { kind: "whole" });
            case "answerWhole":
                ask.tokens.push(...effect.texts);
                this.checkTokens(ask, 0);
                this.checkWhole(ask, effect.texts.length);
                return this.noteEnd(ask, { kind: "whole" });
            case "answerResponse":
                this.checkResponse(ask, effect.answer.body);
                return this.noteEnd(ask, { kind: "response" });
            case "answerFailure": {
                const { type, outcome } = effect.failure;
                return this.noteEnd(ask, { kind: "failure", type, outcome });
            }
        }
    }

    private noteHeard(ask: Ask): void {
        const silence = this.clock.now - ask.lastHeard;
        if (silence > longestSilence && !ask.isExcused) {
            this.fail("no_silence", `${ask.id} heard nothing for ${Math.round(silence)} ms`);
        }
        ask.lastHeard = this.clock.now;
    }

    private noteTokens(ask: Ask, effect: Extract<EntryEffect, { readonly kind: "answerTokens"; }>): void {
        const expected = ask.offset + ask.tokens.length;
        if (effect.from !== expected) {
            this.fail("tokens_once_in_order_one_generation", `${ask.id} has ${expected} tokens and got ${effect.from}`);
        }
        const before = ask.tokens.length;
        ask.tokens.push(...effect.texts);
        ask.cursor = { ...effect.generation, next: effect.from + effect.texts.length };
        this.checkTokens(ask, before);
    }

    private checkTokens(ask: Ask, from: number): void {
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

    private checkWhole(ask: Ask, count: number): void {
        if (count !== ask.length || ask.offset + ask.tokens.length !== ask.length) {
            this.fail(
                "whole_and_own_answer",
                `${ask.id} ended with ${ask.offset + ask.tokens.length} of ${ask.length} tokens`,
            );
        }
    }

    /** A repeat of a key may get the first one's answer; anyone else gets its own. */
    private checkResponse(ask: Ask, body: string): void {
        const answered = this.asks.get(body);
        const isOwn = body === ask.id || (ask.key !== undefined && answered?.key === ask.key);
        if (!isOwn) {
            this.fail("whole_and_own_answer", `${ask.id} got the response of ${body}`);
        }
    }

    private noteEnd(ask: Ask, end: AskEnd): void {
        ask.end = end;
        if (end.kind === "failure" && end.outcome === "not_run" && (this.runs.get(ask.id) ?? 0) > 0) {
            this.fail("not_run_is_true", `${ask.id} has run, and its caller is told ${end.type} that it was not run`);
        }
        if (this.clock.now > ask.deadline + answerSlack && !ask.isExcused) {
            this.fail("final_answer_in_time", `${ask.id} ended ${Math.round(this.clock.now - ask.deadline)} ms late`);
        }
    }

    /** A sidecar hands work to its backend server. */
    noteStart(backendServer: BackendServerId, askId: string): void {
        const since = this.refusesStartsSince.get(backendServer);
        if (since !== undefined && this.clock.now >= since) {
            this.fail(
                "leaving_gets_no_new_work",
                `${askId} started on ${backendServer}, leaving since ${Math.round(since)}`,
            );
        }
    }

    /** The callers of an entry that is gone. */
    loseConnections(entryIncarnation: string): void {
        for (const ask of this.openAsks(entryIncarnation)) {
            ask.end = { kind: "connection_lost" };
        }
    }

    /** The asks that wait at an entry. */
    openAsks(entryIncarnation: string): Ask[] {
        return [...this.asks.values()].filter(ask =>
            ask.entryIncarnation === entryIncarnation && ask.end === undefined
        );
    }

    /** Checks, at any time, that nobody who could be answered waits past the deadline or in silence. */
    checkWaiting(): void {
        for (const ask of this.asks.values()) {
            if (ask.end !== undefined || ask.isExcused) {
                continue;
            }
            if (this.clock.now > ask.deadline + answerSlack) {
                this.fail("final_answer_in_time", `${ask.id} has no final answer after its deadline`);
            }
            if (this.clock.now - ask.lastHeard > longestSilence) {
                this.fail("no_silence", `${ask.id} hears nothing`);
            }
        }
    }

    /** Checks, once faults have stopped, that everybody got a final answer. */
    checkAllEnded(): void {
        for (const ask of this.asks.values()) {
            if (ask.end === undefined) {
                this.fail("final_answer_in_time", `${ask.id} never got a final answer`);
            }
        }
    }
}
