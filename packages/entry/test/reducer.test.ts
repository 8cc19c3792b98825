import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EntryBench, failuresIn, runsIn } from "./entryBuilders.js";

const others = ["engine-1", "engine-2", "plain-1"];
const without = (server: string): string[] => others.filter(other => other !== server);

test("a request whose link goes silent is tried elsewhere, and the first to answer is pinned", () => {
    const bench = new EntryBench();
    const [first] = runsIn(bench.askStream("r"));
    const [second] = runsIn(bench.pass(2_200, without(first.server)));
    assert.is.not(second.server, first.server);
    const generationId = identifier<never>("g");
    const effects = bench.hear(second.server, {
        kind: "tokens",
        attemptId: second.attemptId,
        generationId,
        from: 0,
        texts: ["a"],
    });
    assert.ok(effects.some(effect => effect.kind === "answerTokens"));
    assert.is(bench.state.attempts.size, 1);
});

test("a call that is not idempotent is not tried elsewhere when its link goes silent", () => {
    const bench = new EntryBench();
    assert.is(runsIn(bench.askConfirmation("r")).length, 1);
    assert.equal(runsIn(bench.pass(2_500, without("plain-1"))), []);
});

test("the same sidecar is asked again over a new link; a replaced one has lost the attempt", () => {
    const bench = new EntryBench();
    const [sent] = runsIn(bench.askConfirmation("r"));
    bench.pass(2_200, without("plain-1"));
    assert.equal(runsIn(bench.welcome("plain-1", 2)), [{ ...sent, resent: true }]);
    bench.pass(2_200, without("plain-1"));
    const [failure] = failuresIn(bench.welcome("plain-1", 3, "another"));
    assert.equal([failure.type, failure.outcome], ["outcome_unknown", "outcome_unknown"]);
});

test("what has not started is withdrawn before the deadline, and its caller is told for certain", () => {
    const bench = new EntryBench();
    const [sent] = runsIn(bench.askStream("r"));
    const effects = bench.pass(7_100, others);
    assert.ok(effects.some(effect => effect.kind === "sendMessage" && effect.message.kind === "withdraw"));
    const answer = {
        kind: "notRun",
        attemptId: sent.attemptId,
        failureType: "deadline_exceeded",
        retryAfter: 1_000,
    } as const;
    const [failure] = failuresIn(bench.hear(sent.server, answer));
    assert.equal([failure.type, failure.outcome], ["deadline_exceeded", "not_run"]);
});

test("a second refusal as overloaded is the final answer, at once", () => {
    const bench = new EntryBench();
    const [first] = runsIn(bench.askStream("r"));
    const refusal = (attemptId: typeof first.attemptId) =>
        ({ kind: "notRun", attemptId, failureType: "overloaded", retryAfter: 3_000 }) as const;
    const [second] = runsIn(bench.hear(first.server, refusal(first.attemptId)));
    assert.is.not(second.server, first.server);
    const [failure] = failuresIn(bench.hear(second.server, refusal(second.attemptId)));
    assert.equal([failure.type, failure.outcome], ["overloaded", "not_run"]);
    assert.ok(failure.retryAfter! >= 3_000);
});

test("a keyed call is dispatched only after its claim has been read back", () => {
    const bench = new EntryBench();
    const effects = bench.askConfirmation("r", "key");
    assert.equal(runsIn(effects), []);
    const append = effects.find(effect => effect.kind === "appendClaims");
    const value = append?.kind === "appendClaims" ? append.statements : [];
    const read = bench.take({ kind: "claimsRead", records: [{ offset: 0, value }], earliest: 0, end: 1 });
    assert.is(runsIn(read).length, 1);
});

test("a claim read back after its request was given up is released", () => {
    const bench = new EntryBench();
    const append = bench.askConfirmation("r", "key").find(effect => effect.kind === "appendClaims");
    const value = append?.kind === "appendClaims" ? append.statements : [];
    const [failure] = failuresIn(bench.pass(3_200, others));
    assert.equal([failure.type, failure.outcome], ["log_unavailable", "not_run"]);
    bench.take({ kind: "claimsAppended" });
    const read = bench.take({ kind: "claimsRead", records: [{ offset: 0, value }], earliest: 0, end: 1 });
    assert.equal(runsIn(read), []);
    const release = read.find(effect => effect.kind === "appendClaims");
    assert.is(release?.kind === "appendClaims" && release.statements[0].type, "release");
});

test.run();
