import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EntryHarness, listFailures, listSentRuns } from "./entryBuilders.js";

const allServers = ["engine-1", "engine-2", "plain-1"];
const allServersExcept = (server: string): string[] => allServers.filter(other => other !== server);

test("a request whose link goes silent is hedged, and the first attempt to send tokens is pinned", () => {
    const harness = new EntryHarness();
    const [first] = listSentRuns(harness.requestStream("r"));
    const [second] = listSentRuns(harness.advance(2_200, allServersExcept(first.server)));
    assert.is.not(second.server, first.server);
    const generationId = identifier<never>("g");
    const effects = harness.receive(second.server, {
        kind: "tokens",
        attemptId: second.attemptId,
        generationId,
        from: 0,
        texts: ["a"],
    });
    assert.ok(effects.some(effect => effect.kind === "answerTokens"));
    assert.is(harness.state.attempts.size, 1);
});

test("a non-idempotent call is not hedged when its link goes silent", () => {
    const harness = new EntryHarness();
    assert.is(listSentRuns(harness.requestConfirmation("r")).length, 1);
    assert.equal(listSentRuns(harness.advance(2_500, allServersExcept("plain-1"))), []);
});

test("an attempt is sent again to the same sidecar over a new link, and lost if the sidecar was replaced", () => {
    const harness = new EntryHarness();
    const [sent] = listSentRuns(harness.requestConfirmation("r"));
    harness.advance(2_200, allServersExcept("plain-1"));
    assert.equal(listSentRuns(harness.welcome("plain-1", 2)), [{ ...sent, resent: true }]);
    harness.advance(2_200, allServersExcept("plain-1"));
    const [failure] = listFailures(harness.welcome("plain-1", 3, "another"));
    assert.equal([failure.type, failure.outcome], ["outcome_unknown", "outcome_unknown"]);
});

test("an unstarted attempt is withdrawn before the deadline, and the request fails as not run", () => {
    const harness = new EntryHarness();
    const [sent] = listSentRuns(harness.requestStream("r"));
    const effects = harness.advance(7_100, allServers);
    assert.ok(effects.some(effect => effect.kind === "sendMessage" && effect.message.kind === "withdraw"));
    const answer = {
        kind: "notRun",
        attemptId: sent.attemptId,
        failureType: "deadline_exceeded",
        retryAfter: 1_000,
    } as const;
    const [failure] = listFailures(harness.receive(sent.server, answer));
    assert.equal([failure.type, failure.outcome], ["deadline_exceeded", "not_run"]);
});

test("a second refusal as overloaded fails the request at once", () => {
    const harness = new EntryHarness();
    const [first] = listSentRuns(harness.requestStream("r"));
    const refusal = (attemptId: typeof first.attemptId) =>
        ({ kind: "notRun", attemptId, failureType: "overloaded", retryAfter: 3_000 }) as const;
    const [second] = listSentRuns(harness.receive(first.server, refusal(first.attemptId)));
    assert.is.not(second.server, first.server);
    const [failure] = listFailures(harness.receive(second.server, refusal(second.attemptId)));
    assert.equal([failure.type, failure.outcome], ["overloaded", "not_run"]);
    assert.ok(failure.retryAfter! >= 3_000);
});

test("a keyed call is dispatched only after its claim has been read back", () => {
    const harness = new EntryHarness();
    const effects = harness.requestConfirmation("r", "key");
    assert.equal(listSentRuns(effects), []);
    const append = effects.find(effect => effect.kind === "appendClaims");
    const value = append?.kind === "appendClaims" ? append.statements : [];
    const read = harness.handle({ kind: "claimsRead", records: [{ offset: 0, value }], earliest: 0, end: 1 });
    assert.is(listSentRuns(read).length, 1);
});

test("a claim that is read back after its request failed is released", () => {
    const harness = new EntryHarness();
    const append = harness.requestConfirmation("r", "key").find(effect => effect.kind === "appendClaims");
    const value = append?.kind === "appendClaims" ? append.statements : [];
    const [failure] = listFailures(harness.advance(3_200, allServers));
    assert.equal([failure.type, failure.outcome], ["log_unavailable", "not_run"]);
    harness.handle({ kind: "claimsAppended" });
    const read = harness.handle({ kind: "claimsRead", records: [{ offset: 0, value }], earliest: 0, end: 1 });
    assert.equal(listSentRuns(read), []);
    const release = read.find(effect => effect.kind === "appendClaims");
    assert.is(release?.kind === "appendClaims" && release.statements[0].type, "release");
});

/** Puts or deletes the evacuation of a failure domain, as the next record of the log. */
function changeEvacuation(entry: EntryHarness, name: string, isRequested: boolean) {
    const { next, documents } = entry.state.configuration;
    const change = {
        changeId: identifier<never>(`evacuation-${next}`),
        kind: "evacuation" as const,
        name,
        expectedRevision: documents.get(`evacuation/${name}`)?.revision ?? -1,
        document: isRequested ? { name } : undefined,
    };
    const records = [{ offset: next, value: { type: "change" as const, change } }];
    return entry.handle({ kind: "configurationRead", records, earliest: 0, end: next + 1 });
}

test("sidecars in an evacuated failure domain get nothing new, and are sent the document, until it is deleted", () => {
    const entry = new EntryHarness();
    const instances = [["engine-1", "near"], ["engine-2", "far"]].map(([server, domain]) => ({
        backendServer: identifier<never>(server),
        service: identifier<never>("chat"),
        failureDomain: identifier<never>(domain),
        linkAddress: "127.0.0.1:1",
        leaving: false,
    }));
    entry.handle({ kind: "instancesListed", instances });
    entry.state.links.forEach(link => link.sentConfigurationOffset = 3);
    const sent = changeEvacuation(entry, "near", true).flatMap(effect =>
        effect.kind === "sendMessage" && effect.message.kind === "configuration" ? [effect.backendServer] : []
    );
    assert.equal(sent, ["engine-1"]);
    const requested = Array.from({ length: 4 }, (_, index) => entry.requestStream(`r${index}`)).flat();
    assert.equal(listSentRuns(requested).map(({ server }) => server), Array(4).fill("engine-2"));
    changeEvacuation(entry, "far", true);
    const [failure] = listFailures(entry.requestStream("s"));
    assert.equal([failure.type, failure.outcome], ["no_backend_server", "not_run"]);
    assert.match(failure.message, "evacuated");
    assert.ok(failure.retryAfter! >= 1_000);
    changeEvacuation(entry, "near", false);
    assert.equal(listSentRuns(entry.requestStream("t")).map(({ server }) => server), ["engine-1"]);
});

test.run();
