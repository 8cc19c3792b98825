/**
 * The room for large answers: which of them are read, and which wait at their servers.
 */
import { AnswerRoom, type RoomHolder } from "@verbenaspring/runtime";
import { test } from "uvu";
import * as assert from "uvu/assert";

class Answer implements RoomHolder {
    kept = 0;
    isPaused = false;
    readonly keptBytes = (): number => this.kept;
    readonly pause = (): void => void (this.isPaused = true);
    readonly resume = (): void => void (this.isPaused = false);
}

function createRoom(unread: { bytes: number; } = { bytes: 0 }): { room: AnswerRoom; answers: Answer[]; } {
    const answers = Array.from({ length: 4 }, () => new Answer());
    return { room: new AnswerRoom(100, () => unread.bytes), answers };
}

// Answers that servers had begun were given up when all together were too large.
test("answers beyond the room wait, and are read in their order once there is room", () => {
    const { room, answers } = createRoom();
    answers.forEach(answer => room.reserve(answer, 60, 0));
    assert.equal(answers.map(({ isPaused }) => isPaused), [false, true, true, true]);
    room.release(answers[0]);
    room.resumeNext(1);
    assert.equal(answers.map(({ isPaused }) => isPaused), [false, false, true, true]);
    room.release(answers[2]);
    room.release(answers[1]);
    room.resumeNext(2);
    assert.not(answers[3].isPaused);
});

test("answers wait for room that callers have not freed", () => {
    const unread = { bytes: 50 };
    const { room, answers: [first] } = createRoom(unread);
    room.reserve(first, 60, 0);
    assert.ok(first.isPaused);
    unread.bytes = 40;
    room.resumeNext(1);
    assert.not(first.isPaused);
});

// Answers of unknown length could each hold a part of the room and wait for more for ever.
test("answers that grow and fill the room together are read to their end one after the other", () => {
    const { room, answers: [first, second] } = createRoom();
    for (const answer of [first, second]) {
        room.reserve(answer, 50, 0);
        answer.kept = 50;
    }
    room.reserve(first, 100, 0);
    assert.ok(first.isPaused, "the other one is still read");
    room.reserve(second, 100, 0);
    assert.is([first, second].filter(({ isPaused }) => isPaused).length, 1);
    const [read, waiting] = first.isPaused ? [second, first] : [first, second];
    room.release(read);
    room.resumeNext(1);
    assert.not(waiting.isPaused);
});

test("an answer of which nothing more arrives does not keep others waiting", () => {
    const { room, answers: [silent, other] } = createRoom();
    room.reserve(silent, 90, 0);
    silent.kept = 10;
    room.reserve(other, 90, 100);
    assert.ok(other.isPaused);
    room.resumeNext(900);
    assert.ok(other.isPaused);
    room.resumeNext(1_100);
    assert.not(other.isPaused);
});

test.run();
