/**
 * Bounds the time that one turn of the event loop spends on reading from many sockets. A server that sends its answer in
 * tiny chunks makes each byte cost much time, and the sockets that became readable are all read in the same turn.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** The reading of all sockets in one turn. Timers and callers wait for as long. */
const maxTurnTime: Milliseconds = 10;
/** The reading of one socket in one turn, so that the others have their share. */
const maxReaderTime: Milliseconds = 1;

/** One of the sockets. */
export interface Reader {
    /** Reads on; called in a later turn, after a refusal. */
    readonly resume: () => void;
}

/** The budget that the sockets share. */
export interface ReadBudget {
    /**
     * Whether a socket may be read now; if not, its `resume` is called in a later turn. What was read before is taken to
     * be processed by the time of the next call.
     */
    readonly mayRead: (reader: Reader, now: Milliseconds) => boolean;
    /** Begins a turn. */
    readonly startTurn: () => void;
}

/**
 * Creates a budget.
 *
 * @param scheduleTurn called once when {@link ReadBudget.startTurn} is to be called in the next turn
 * @example
 * const budget = createReadBudget(() => setImmediate(() => budget.startTurn()));
 */
export function createReadBudget(scheduleTurn: () => void): ReadBudget {
    const usedTimes = new Map<Reader, Milliseconds>();
    const waiting = new Set<Reader>();
    let turnTime = 0;
    let isScheduled = false;
    let last: { readonly reader: Reader; readonly at: Milliseconds; } | undefined;

    const schedule = (): void => {
        if (!isScheduled) {
            isScheduled = true;
            scheduleTurn();
        }
    };

    return {
        mayRead: (reader, now) => {
            schedule();
            if (last?.reader === reader) {
                const elapsed = now - last.at;
                turnTime += elapsed;
                usedTimes.set(reader, (usedTimes.get(reader) ?? 0) + elapsed);
            }
            last = undefined;
            if (waiting.has(reader) || turnTime >= maxTurnTime || (usedTimes.get(reader) ?? 0) >= maxReaderTime) {
                waiting.add(reader);
                return false;
            }
            last = { reader, at: now };
            return true;
        },
        startTurn: () => {
            isScheduled = false;
            turnTime = 0;
            usedTimes.clear();
            last = undefined;
            for (const reader of [...waiting]) {
                if (turnTime >= maxTurnTime) {
                    break;
                }
                waiting.delete(reader);
                reader.resume();
            }
            if (waiting.size > 0) {
                schedule();
            }
        },
    };
}
