import { countPossibleRuns, createRunLedger, recordNoRun, recordSend } from "@verbenaspring/gateway";
import { type AttemptId, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const [first, second, third] = ["first", "second", "third"].map(name => identifier<AttemptId>(name));

test("a send counts as a possible run until there is evidence against just that send", () => {
    const ledger = createRunLedger();
    recordSend(ledger, first, false);
    recordSend(ledger, second, false);
    recordNoRun(ledger, second);
    recordNoRun(ledger, second);
    assert.is(countPossibleRuns(ledger), 1);
    recordNoRun(ledger, first);
    assert.is(countPossibleRuns(ledger), 0);
});

test("a continuation counts with the run that it continues, whichever of them is known not to have begun", () => {
    const ledger = createRunLedger();
    recordSend(ledger, first, false);
    recordSend(ledger, second, true);
    recordSend(ledger, third, true);
    assert.is(countPossibleRuns(ledger), 1);
    recordNoRun(ledger, third);
    assert.is(countPossibleRuns(ledger), 1);
    recordNoRun(ledger, first);
    assert.is(countPossibleRuns(ledger), 1);
});

test.run();
