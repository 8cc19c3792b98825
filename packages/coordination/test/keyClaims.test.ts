import { emptyClaims, expireClaims, foldClaims } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { claim, release } from "./builders.js";

const claimsWon = (records: Parameters<typeof foldClaims>[1]): boolean[] =>
    foldClaims(emptyClaims(), records, 0).map(result => result.won);

test("the claim with the lowest offset wins a key", () => {
    assert.equal(claimsWon([{ offset: 0, value: [claim("k", "one")] }, { offset: 1, value: [claim("k", "two")] }]), [
        true,
        false,
    ]);
});

test("the keys claimed in one append are each won by their own claim", () => {
    const claims = emptyClaims();
    const first = Array.from({ length: 256 }, (_, index) => claim(`key-${index}`, `first-${index}`));
    const duplicates = Array.from({ length: 256 }, (_, index) => claim(`key-${index}`, `repeat-${index}`));
    const results = foldClaims(claims, [{ offset: 0, value: first }, { offset: 1, value: duplicates }], 0);
    assert.is(results.filter(result => result.won).length, 256);
    assert.ok(results.every(result => result.holder.claimId.startsWith("first-")));
});

test("a claim that is appended twice wins both times", () => {
    assert.equal(claimsWon([{ offset: 0, value: [claim("k", "one"), claim("k", "one")] }]), [true, true]);
});

test("a released key is won by the next claim, and only the winning claim can release it", () => {
    const records = [
        { offset: 0, value: [claim("k", "one")] },
        { offset: 1, value: [release("k", "two"), claim("k", "two")] },
        { offset: 2, value: [release("k", "one"), claim("k", "three")] },
    ];
    assert.equal(claimsWon(records), [true, false, true]);
});

test("keys are removed after their retention", () => {
    const claims = emptyClaims();
    foldClaims(claims, [{ offset: 0, value: [claim("k", "one")] }], 0);
    expireClaims(claims, 100, 100);
    assert.is(claims.held.size, 1);
    expireClaims(claims, 101, 100);
    assert.is(claims.held.size, 0);
});

test.run();
