/**
 * Virtual clock for simulations: callbacks run in the order of their times, and time stands still while one runs.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { Clock } from "./clock.js";

interface Scheduled {
    readonly at: Milliseconds;
    readonly sequence: number;
    readonly run: () => void;
}

/** A clock that advances directly to the next callback. Callbacks with the same time run in the order of scheduling. */
export class VirtualClock implements Clock {
    now: Milliseconds = 0;
    private sequence = 0;
    /** Binary min-heap by time and sequence. */
    private readonly heap: Scheduled[] = [];

    /** Runs a callback after a delay. */
    schedule(delay: Milliseconds, run: () => void): void {
        this.push({ at: this.now + Math.max(0, delay), sequence: this.sequence++, run });
    }

    /** Runs every callback that is due by `until`. */
    advanceTo(until: Milliseconds): void {
        while (this.heap.length > 0 && this.heap[0].at <= until) {
            const next = this.pop();
            this.now = next.at;
            next.run();
        }
        this.now = until;
    }

    private push(scheduled: Scheduled): void {
        const { heap } = this;
        heap.push(scheduled);
        let index = heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index], heap[parent])) {
                return;
            }
            [heap[index], heap[parent]] = [heap[parent], heap[index]];
            index = parent;
        }
    }

    private pop(): Scheduled {
        const { heap } = this;
        const first = heap[0];
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            this.siftDown();
        }
        return first;
    }

    private siftDown(): void {
        const { heap } = this;
        let index = 0;
        while (true) {
            const left = 2 * index + 1;
            const right = left + 1;
            let smallest = index;
            if (left < heap.length && isBefore(heap[left], heap[smallest])) {
                smallest = left;
            }
            if (right < heap.length && isBefore(heap[right], heap[smallest])) {
                smallest = right;
            }
            if (smallest === index) {
                return;
            }
            [heap[index], heap[smallest]] = [heap[smallest], heap[index]];
            index = smallest;
        }
    }
}

function isBefore(one: Scheduled, other: Scheduled): boolean {
    return one.at < other.at || (one.at === other.at && one.sequence < other.sequence);
}
