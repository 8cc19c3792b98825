import { acceptTokens, newestLinkOnly, openLinkRecord, type TokenLedger } from "@verbenaspring/coordination";
import { type AttemptId, type EntryIncarnation, identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";

const one = identifier<AttemptId>("one");
const two = identifier<AttemptId>("two");
const entry = identifier<EntryIncarnation>("entry");

test("an overlapping run forwards just what is new", () => {
    const ledger: TokenLedger = { next: 0 };
    acceptTokens(ledger, one, 0, ["a", "b"]);
    assert.equal(acceptTokens(ledger, one, 1, ["b", "c"]), { action: "forward", texts: ["c"], from: 2 });
});

test("a gap is asked for again", () => {
    assert.equal(acceptTokens({ next: 1 }, one, 3, ["d"]), { action: "ask_again", next: 1 });
});

test("the first attempt is pinned, and another's tokens are dropped", () => {
    const ledger: TokenLedger = { next: 0 };
    acceptTokens(ledger, one, 0, ["a"]);
    assert.equal(acceptTokens(ledger, two, 1, ["b"]), { action: "drop" });
});

test("a superseded link can't be opened, and its frames are refused", () => {
    const records = new Map();
    const first = openLinkRecord(records, entry, 1, 0);
    const second = openLinkRecord(records, entry, 2, 0);
    assert.ok(first);
    assert.ok(newestLinkOnly(second, 2));
    assert.not(newestLinkOnly(second, 1));
    assert.is(openLinkRecord(records, entry, 1, 0), undefined);
    second!.isOpen = false;
    assert.not(newestLinkOnly(second, 2), "frames of a closed link are refused as well");
});

test.run();
