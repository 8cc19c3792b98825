import { identifier } from "@verbenaspring/model";
import { defaultSidecarPolicies, type SidecarEffect } from "@verbenaspring/sidecar";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRun, findStartedGeneration, listSentKinds, SidecarBench } from "./sidecarBuilders.js";

test("a load report is sent each heartbeat interval, also while the link is busy", () => {
    const bench = new SidecarBench();
    bench.openLink("entry", 1);
    const generationId = findStartedGeneration(bench.receive("entry", 1, createRun("a")))!;
    let reports = 0;
    for (let from = 0; from < 40; from++) {
        bench.now += 100;
        const effects = [
            ...bench.handle({ kind: "generationTokens", generationId, from, texts: ["t"] }),
            ...bench.receive("entry", 1, { kind: "acknowledge", attemptId: identifier("a"), next: from + 1 }),
            ...bench.handle({ kind: "tick" }),
        ];
        reports += listSentKinds(effects).filter(kind => kind === "load").length;
    }
    assert.ok(reports >= 7, `${reports} reports in 4 s`);
});

test("a resent run starts nothing new, and its tokens are sent from the requested index", () => {
    const bench = new SidecarBench();
    bench.openLink("entry", 1);
    const generationId = findStartedGeneration(bench.receive("entry", 1, createRun("a")))!;
    bench.handle({ kind: "generationTokens", generationId, from: 0, texts: ["x", "y", "z"] });
    bench.openLink("entry", 2);
    const effects = bench.receive("entry", 2, createRun("a", { from: 1, resent: true }));
    assert.is(findStartedGeneration(effects), undefined);
    const tokens = effects.flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "tokens" ? [effect.message] : []
    );
    assert.equal(tokens.map(({ from, texts }) => ({ from, texts })), [{ from: 1, texts: ["y", "z"] }]);
});

test("a run over a superseded link starts nothing", () => {
    const bench = new SidecarBench();
    bench.openLink("entry", 1);
    bench.openLink("entry", 2);
    assert.is(findStartedGeneration(bench.receive("entry", 1, createRun("a"))), undefined);
});

test("a withdrawn attempt never starts, even if its run arrives later", () => {
    const bench = new SidecarBench();
    bench.openLink("entry", 1);
    assert.equal(listSentKinds(bench.receive("entry", 1, { kind: "withdraw", attemptId: identifier("a") })), [
        "notRun",
    ]);
    const late = bench.receive("entry", 1, createRun("a"));
    assert.is(findStartedGeneration(late), undefined);
    assert.equal(listSentKinds(late), ["notRun"]);
});

test("tokens are sent within the reader's window", () => {
    const bench = new SidecarBench();
    bench.openLink("entry", 1);
    const generationId = findStartedGeneration(bench.receive("entry", 1, createRun("a")))!;
    const texts = Array.from({ length: 10 }, (_, index) => `t${index}`);
    const first = bench.handle({ kind: "generationTokens", generationId, from: 0, texts });
    assert.is(countTokens(first), 4);
    assert.is(countTokens(bench.receive("entry", 1, { kind: "acknowledge", attemptId: identifier("a"), next: 3 })), 3);
});

function countTokens(effects: readonly SidecarEffect[]): number {
    return effects.reduce(
        (sum, effect) =>
            effect.kind === "sendMessage" && effect.message.kind === "tokens" ? sum + effect.message.texts.length : sum,
        0,
    );
}

test("a full queue refuses a run at once, with a retry delay", () => {
    const bench = new SidecarBench({ ...defaultSidecarPolicies, admission: () => () => false });
    bench.openLink("entry", 1);
    bench.receive("entry", 1, createRun("a"));
    bench.receive("entry", 1, createRun("b"));
    const [refused] = bench.receive("entry", 1, createRun("c")).flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "notRun" ? [effect.message] : []
    );
    assert.is(refused.failureType, "overloaded");
    assert.ok(refused.retryAfter >= 1_000);
});

test("a leaving sidecar refuses queued attempts and new runs", () => {
    const bench = new SidecarBench({ ...defaultSidecarPolicies, admission: () => () => false });
    bench.openLink("entry", 1);
    bench.receive("entry", 1, createRun("a"));
    assert.ok(listSentKinds(bench.handle({ kind: "stopRequested" })).includes("notRun"));
    assert.equal(listSentKinds(bench.receive("entry", 1, createRun("b"))), ["notRun"]);
});

test("an invariant violation is reported and fails its attempt, and the sidecar keeps serving", () => {
    const bench = new SidecarBench({ ...defaultSidecarPolicies, refusesWork: () => false });
    bench.openLink("entry", 1);
    bench.handle({ kind: "listed", leaving: true });
    const effects = bench.receive("entry", 1, createRun("a"));
    const violated = effects.find(effect => effect.kind === "violated");
    assert.is(violated?.kind === "violated" && violated.violation.invariant, "no_start_while_leaving");
    assert.ok(listSentKinds(effects).includes("failed"));
    bench.handle({ kind: "listed", leaving: false });
    assert.ok(findStartedGeneration(bench.receive("entry", 1, createRun("b"))));
});

test.run();
