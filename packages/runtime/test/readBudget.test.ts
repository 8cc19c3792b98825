/**
 * Guards against turns of the event loop that parse what all sockets of flooding servers hold, and against sockets that
 * are never read on because others use up the budget.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { boundReads, createReadBudget, type ReadBudget } from "@verbenaspring/runtime";
import type { Socket } from "node:net";
import { PassThrough } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** Readers whose pieces take a time each, on a budget with a clock of its own. */
class Readers {
    now: Milliseconds = 0;
    readonly pieces: string[] = [];
    scheduledTurns = 0;
    private readonly budget = createReadBudget(() => this.scheduledTurns++);

    /** Reads until it is refused or the pieces are used up. */
    start(name: string, pieceTime: Milliseconds, pieceCount: number): void {
        let left = pieceCount;
        const reader = {
            resume: () => {
                while (left > 0 && this.budget.mayRead(reader, this.now)) {
                    left--;
                    this.now += pieceTime;
                    this.pieces.push(name);
                }
            },
        };
        reader.resume();
    }

    nextTurn(): Milliseconds {
        const startedAt = this.now;
        this.scheduledTurns--;
        this.budget.startTurn();
        return this.now - startedAt;
    }
}

test("a socket that was read for its share of a turn is read on in the next", () => {
    const readers = new Readers();
    readers.start("a", 0.5, 5);
    assert.equal(readers.pieces, ["a", "a"]);
    assert.is(readers.scheduledTurns, 1);
    readers.nextTurn();
    readers.nextTurn();
    assert.equal(readers.pieces, ["a", "a", "a", "a", "a"]);
});

test("all sockets together are read for a bounded time in a turn, those that waited longest first", () => {
    const readers = new Readers();
    const names = Array.from({ length: 30 }, (_, index) => `${index}`);
    names.forEach(name => readers.start(name, 1, 1_000));
    assert.is(readers.now, 10);
    for (let turn = 0; turn < 8; turn++) {
        assert.ok(readers.nextTurn() <= 10);
    }
    const counts = names.map(name => readers.pieces.filter(piece => piece === name).length);
    assert.ok(Math.min(...counts) >= 2, counts.join());
});

test("the turns end when nothing waits", () => {
    const readers = new Readers();
    readers.start("a", 1, 2);
    readers.nextTurn();
    readers.nextTurn();
    assert.equal(readers.pieces, ["a", "a"]);
    assert.is(readers.scheduledTurns, 0);
});

test("a socket that was refused is read whole when its turn comes", async () => {
    let refusals = 3;
    const waiting: (() => void)[] = [];
    const budget: ReadBudget = {
        mayRead: reader => refusals-- <= 0 || waiting.push(reader.resume) === 0,
        startTurn: () => undefined,
    };
    const socket = new PassThrough();
    const count = { readBytes: 0, bodyBytes: 1_000_000 };
    boundReads(socket as unknown as Socket, count, budget);
    let ended = false;
    socket.on("end", () => ended = true);
    socket.on("readable", () => {
        let piece: unknown;
        do {
            piece = socket.read();
        }
        while (piece !== null);
    });
    socket.end(Buffer.alloc(10_000));
    await new Promise(setImmediate);
    assert.is(count.readBytes, 4_096, "the first piece of an answer is always read");
    while (waiting.length > 0) {
        waiting.shift()!();
    }
    await new Promise(setImmediate);
    assert.is(count.readBytes, 10_000);
    assert.ok(ended);
});

test.run();
