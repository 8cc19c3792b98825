/**
 * The budget for what clients make the process hold: its size, and whom it cuts.
 */
import { type BudgetHolder, callerBounds, CallerBudget, createHeldBytes } from "@verbenaspring/runtime";
import { test } from "uvu";
import * as assert from "uvu/assert";

const megabyte = 2 ** 20;
const isCut = (): boolean => false;

function openHolder(budget: CallerBudget, address: string): BudgetHolder {
    const holder = { address, openedAt: 0, heldBytes: createHeldBytes() };
    budget.open(holder);
    return holder;
}

test("the bounds follow the memory and the heap, let the largest body through, and settings lower them", () => {
    const boundsFor = (memory: number, heap: number, maxBytes?: number): number =>
        callerBounds({
            memoryBytes: memory * megabyte,
            heapBytes: heap * megabyte,
            maxFileDescriptors: 2_212,
            maxBytes,
        }).totalBytes / megabyte;
    assert.is(boundsFor(178, 122), 12);
    assert.is(boundsFor(602, 122), 64);
    assert.is(boundsFor(300, 122), 37.5);
    assert.is(boundsFor(178, 4_000), 12);
    assert.is(boundsFor(602, 122, 5 * megabyte), 5);
    assert.is(
        callerBounds({ memoryBytes: megabyte, heapBytes: 0, maxFileDescriptors: 2_212 }).connections,
        1_006,
    );
});

test("the largest holder of the address that holds most is cut first", () => {
    const budget = new CallerBudget(10 * megabyte);
    const ordinary = openHolder(budget, "a");
    const [first, second] = [openHolder(budget, "b"), openHolder(budget, "b")];
    assert.ok(budget.change(ordinary, "bodies", 4 * megabyte));
    assert.ok(budget.change(first, "bodies", 2 * megabyte));
    assert.is(budget.largest(isCut), undefined);
    assert.not.ok(budget.change(second, "answers", 6 * megabyte));
    assert.is(budget.largest(isCut), second);
    budget.close(second);
    assert.is(budget.largest(isCut), undefined);
});

test("small holders and running requests are cut only far beyond the budget", () => {
    const budget = new CallerBudget(10 * megabyte);
    const running = openHolder(budget, "a");
    const small = openHolder(budget, "a");
    budget.change(running, "running", 11 * megabyte);
    budget.change(small, "heads", 5_000);
    assert.is(budget.largest(isCut), undefined);
    budget.change(running, "running", 3 * megabyte);
    assert.is(budget.largest(isCut), running);
    budget.close(running);
    budget.close(small);
    assert.is(budget.totalBytes, 0);
    assert.ok(budget.peakBytes > 14 * megabyte);
});

test.run();
