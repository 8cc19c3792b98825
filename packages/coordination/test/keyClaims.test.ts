import { emptyClaims, expireClaims, foldClaims } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { claim, release } from "./builders.js";

const wins = (records: Parameters<typeof foldClaims>[1]): boolean[] =>
    foldClaims(emptyClaims(), records, 0).map(verdict => verdict.won);

test("the lowest offset wins a key", () => {
    assert.equal(wins([{ offset: 0, value: [claim("k", "one")] }, { offset: 1, value: [claim("k", "two")] }]), [
        true,
        false,
    ]);
});

test("many keys in one append hold, each for its own claim", () => {
    const claims = emptyClaims();
    const first = Array.from({ length: 256 }, (_, index) => claim(`key-${index}`, `first-${index}`));
    const repeats = Array.from({ length: 256 }, (_, index) => claim(`key-${index}`, `repeat-${index}`));
    const verdicts = foldClaims(claims, [{ offset: 0, value: first }, { offset: 1, value: repeats }], 0);
    assert.is(verdicts.filter(verdict => verdict.won).length, 256);
    assert.ok(verdicts.every(verdict => verdict.holder.claimId.startsWith("first-")));
});

test("a claim appended twice is still the winner", () => {
    assert.equal(wins([{ offset: 0, value: [claim("k", "one"), claim("k", "one")] }]), [true, true]);
});

test("a released key is won by the next claim, and only its holder can release it", () => {
    const records = [
        { offset: 0, value: [claim("k", "one")] },
        { offset: 1, value: [release("k", "two"), claim("k", "two")] },
        { offset: 2, value: [release("k", "one"), claim("k", "three")] },
    ];
    assert.equal(wins(records), [true, false, true]);
});

test("keys are forgotten after their retention", () => {
    const claims = emptyClaims();
    foldClaims(claims, [{ offset: 0, value: [claim("k", "one")] }], 0);
    expireClaims(claims, 100, 100);
    assert.is(claims.held.size, 1);
    expireClaims(claims, 101, 100);
    assert.is(claims.held.size, 0);
});

test.run();
