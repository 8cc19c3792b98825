import { identifier } from "@verbenaspring/model";
import { defaultSidecarPolicies, type SidecarEffect } from "@verbenaspring/sidecar";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRun, findStartedGeneration, listSentKinds, SidecarHarness } from "./sidecarBuilders.js";

test("a load report is sent each heartbeat interval, also while the link is busy", () => {
    const harness = new SidecarHarness();
    harness.openLink("entry", 1);
    const generationId = findStartedGeneration(harness.receive("entry", 1, createRun("a")))!;
    let reports = 0;
    for (let from = 0; from < 40; from++) {
        harness.now += 100;
        const effects = [
            ...harness.handle({ kind: "generationTokens", generationId, from, texts: ["t"] }),
            ...harness.receive("entry", 1, { kind: "acknowledge", attemptId: identifier("a"), next: from + 1 }),
            ...harness.handle({ kind: "tick" }),
        ];
        reports += listSentKinds(effects).filter(kind => kind === "load").length;
    }
    assert.ok(reports >= 7, `${reports} reports in 4 s`);
});

test("a resent run starts nothing new, and its tokens are sent from the requested index", () => {
    const harness = new SidecarHarness();
    harness.openLink("entry", 1);
    const generationId = findStartedGeneration(harness.receive("entry", 1, createRun("a")))!;
    harness.handle({ kind: "generationTokens", generationId, from: 0, texts: ["x", "y", "z"] });
    harness.openLink("entry", 2);
    const effects = harness.receive("entry", 2, createRun("a", { from: 1, resent: true }));
    assert.is(findStartedGeneration(effects), undefined);
    const tokens = effects.flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "tokens" ? [effect.message] : []
    );
    assert.equal(tokens.map(({ from, texts }) => ({ from, texts })), [{ from: 1, texts: ["y", "z"] }]);
});

test("a run over a superseded link starts nothing", () => {
    const harness = new SidecarHarness();
    harness.openLink("entry", 1);
    harness.openLink("entry", 2);
    assert.is(findStartedGeneration(harness.receive("entry", 1, createRun("a"))), undefined);
});

test("a withdrawn attempt never starts, even if its run arrives later", () => {
    const harness = new SidecarHarness();
    harness.openLink("entry", 1);
    assert.equal(listSentKinds(harness.receive("entry", 1, { kind: "withdraw", attemptId: identifier("a") })), [
        "notRun",
    ]);
    const late = harness.receive("entry", 1, createRun("a"));
    assert.is(findStartedGeneration(late), undefined);
    assert.equal(listSentKinds(late), ["notRun"]);
});

test("tokens are sent within the reader's window", () => {
    const harness = new SidecarHarness();
    harness.openLink("entry", 1);
    const generationId = findStartedGeneration(harness.receive("entry", 1, createRun("a")))!;
    const texts = Array.from({ length: 10 }, (_, index) => `t${index}`);
    const first = harness.handle({ kind: "generationTokens", generationId, from: 0, texts });
    assert.is(countTokens(first), 4);
    assert.is(
        countTokens(harness.receive("entry", 1, { kind: "acknowledge", attemptId: identifier("a"), next: 3 })),
        3,
    );
});

function countTokens(effects: readonly SidecarEffect[]): number {
    return effects.reduce(
        (sum, effect) =>
            effect.kind === "sendMessage" && effect.message.kind === "tokens" ? sum + effect.message.texts.length : sum,
        0,
    );
}

test("a full queue refuses a run at once, with a retry delay", () => {
    const harness = new SidecarHarness({ ...defaultSidecarPolicies, admission: () => () => false });
    harness.openLink("entry", 1);
    harness.receive("entry", 1, createRun("a"));
    harness.receive("entry", 1, createRun("b"));
    const [refused] = harness.receive("entry", 1, createRun("c")).flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "notRun" ? [effect.message] : []
    );
    assert.is(refused.failureType, "overloaded");
    assert.ok(refused.retryAfter >= 1_000);
});

test("a leaving sidecar refuses queued attempts and new runs", () => {
    const harness = new SidecarHarness({ ...defaultSidecarPolicies, admission: () => () => false });
    harness.openLink("entry", 1);
    harness.receive("entry", 1, createRun("a"));
    assert.ok(listSentKinds(harness.handle({ kind: "stopRequested" })).includes("notRun"));
    assert.equal(listSentKinds(harness.receive("entry", 1, createRun("b"))), ["notRun"]);
});

test("a sidecar in an evacuated failure domain refuses new runs until the evacuation is withdrawn", () => {
    const harness = new SidecarHarness();
    harness.openLink("entry", 1);
    const configure = (through: number, document: { readonly name: string; } | undefined) => {
        const service = harness.state.configuration.documents.get("service/service")!;
        const evacuation = { kind: "evacuation" as const, name: "domain", revision: through, document };
        const snapshot = { through, documents: [service, evacuation] };
        return harness.receive("entry", 1, { kind: "configuration", snapshot });
    };
    configure(1, { name: "domain" });
    assert.equal(listSentKinds(harness.receive("entry", 1, createRun("a"))), ["notRun"]);
    configure(2, undefined);
    assert.not.ok(listSentKinds(harness.receive("entry", 1, createRun("b"))).includes("notRun"));
});

test("an invariant violation is reported and fails its attempt, and the sidecar keeps serving", () => {
    const harness = new SidecarHarness({ ...defaultSidecarPolicies, refusesWork: () => false });
    harness.openLink("entry", 1);
    harness.handle({ kind: "listed", leaving: true });
    const effects = harness.receive("entry", 1, createRun("a"));
    const violated = effects.find(effect => effect.kind === "violated");
    assert.is(violated?.kind === "violated" && violated.violation.invariant, "no_start_while_leaving");
    assert.ok(listSentKinds(effects).includes("failed"));
    harness.handle({ kind: "listed", leaving: false });
    assert.ok(findStartedGeneration(harness.receive("entry", 1, createRun("b"))));
});

test.run();
