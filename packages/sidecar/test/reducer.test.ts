import { identifier } from "@verbenaspring/model";
import { defaultSidecarPolicies, type SidecarEffect } from "@verbenaspring/sidecar";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { run, sent, SidecarBench, started } from "./sidecarBuilders.js";

test("a load report goes out each heartbeat interval, however busy the link is", () => {
    const bench = new SidecarBench();
    bench.open("entry", 1);
    const generationId = started(bench.hear("entry", 1, run("a")))!;
    let reports = 0;
    for (let from = 0; from < 40; from++) {
        bench.now += 100;
        const effects = [
            ...bench.take({ kind: "generationTokens", generationId, from, texts: ["t"] }),
            ...bench.hear("entry", 1, { kind: "acknowledge", attemptId: identifier("a"), next: from + 1 }),
            ...bench.take({ kind: "tick" }),
        ];
        reports += sent(effects).filter(kind => kind === "load").length;
    }
    assert.ok(reports >= 7, `${reports} reports in 4 s`);
});

test("a run asked for twice starts once, and its tokens are sent from where the entry asks", () => {
    const bench = new SidecarBench();
    bench.open("entry", 1);
    const generationId = started(bench.hear("entry", 1, run("a")))!;
    bench.take({ kind: "generationTokens", generationId, from: 0, texts: ["x", "y", "z"] });
    bench.open("entry", 2);
    const again = bench.hear("entry", 2, run("a", { from: 1, resent: true }));
    assert.is(started(again), undefined);
    const tokens = again.flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "tokens" ? [effect.message] : []
    );
    assert.equal(tokens.map(({ from, texts }) => ({ from, texts })), [{ from: 1, texts: ["y", "z"] }]);
});

test("a run over a superseded link starts nothing", () => {
    const bench = new SidecarBench();
    bench.open("entry", 1);
    bench.open("entry", 2);
    assert.is(started(bench.hear("entry", 1, run("a"))), undefined);
});

test("a withdrawn attempt never starts, also when its run comes later", () => {
    const bench = new SidecarBench();
    bench.open("entry", 1);
    assert.equal(sent(bench.hear("entry", 1, { kind: "withdraw", attemptId: identifier("a") })), ["notRun"]);
    const late = bench.hear("entry", 1, run("a"));
    assert.is(started(late), undefined);
    assert.equal(sent(late), ["notRun"]);
});

test("tokens go out within the reader's window", () => {
    const bench = new SidecarBench();
    bench.open("entry", 1);
    const generationId = started(bench.hear("entry", 1, run("a")))!;
    const texts = Array.from({ length: 10 }, (_, index) => `t${index}`);
    const first = bench.take({ kind: "generationTokens", generationId, from: 0, texts });
    assert.is(countTokens(first), 4);
    assert.is(countTokens(bench.hear("entry", 1, { kind: "acknowledge", attemptId: identifier("a"), next: 3 })), 3);
});

function countTokens(effects: readonly SidecarEffect[]): number {
    return effects.reduce(
        (sum, effect) =>
            effect.kind === "sendMessage" && effect.message.kind === "tokens" ? sum + effect.message.texts.length : sum,
        0,
    );
}

test("a full queue refuses at once, with a time to return", () => {
    const bench = new SidecarBench({ ...defaultSidecarPolicies, admission: () => () => false });
    bench.open("entry", 1);
    bench.hear("entry", 1, run("a"));
    bench.hear("entry", 1, run("b"));
    const [refused] = bench.hear("entry", 1, run("c")).flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "notRun" ? [effect.message] : []
    );
    assert.is(refused.failureType, "overloaded");
    assert.ok(refused.retryAfter >= 1_000);
});

test("a sidecar that is leaving gives back what waits and takes nothing new", () => {
    const bench = new SidecarBench({ ...defaultSidecarPolicies, admission: () => () => false });
    bench.open("entry", 1);
    bench.hear("entry", 1, run("a"));
    assert.ok(sent(bench.take({ kind: "stopRequested" })).includes("notRun"));
    assert.equal(sent(bench.hear("entry", 1, run("b"))), ["notRun"]);
});

test("a broken invariant fails its request loudly, and the sidecar serves on", () => {
    const bench = new SidecarBench({ ...defaultSidecarPolicies, refusesWork: () => false });
    bench.open("entry", 1);
    bench.take({ kind: "listed", leaving: true });
    const effects = bench.hear("entry", 1, run("a"));
    const violated = effects.find(effect => effect.kind === "violated");
    assert.is(violated?.kind === "violated" && violated.violation.invariant, "no_start_while_leaving");
    assert.ok(sent(effects).includes("failed"));
    bench.take({ kind: "listed", leaving: false });
    assert.ok(started(bench.hear("entry", 1, run("b"))));
});

test.run();
