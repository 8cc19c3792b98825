/**
 * Gathers messages for one batch interval and gives them out as frames.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { LinkFrame } from "@verbenaspring/schema";
import { monotonicNow } from "./eventLoop.js";
import { type AnyLinkMessage, encodeFrame } from "./linkCodec.js";

/** The sending half of a link. */
export interface FrameSender {
    readonly send: (message: AnyLinkMessage) => void;
    /** Sends what is gathered, then ends the stream. */
    readonly close: () => void;
    /** The frames, for the stream to send. */
    readonly frames: () => AsyncGenerator<LinkFrame>;
}

/**
 * Creates a sender. A frame holds at least what one turn of the process's loop brings, such as the tokens of
 * one step of an engine; frames follow each other after the interval at the soonest.
 *
 * @param batchInterval milliseconds between frames; 0 sends a frame after each turn of the loop
 * @example
 * const sender = createFrameSender(4);
 */
export function createFrameSender(batchInterval: Milliseconds): FrameSender {
    let batch: AnyLinkMessage[] = [];
    let isClosed = false;
    let flushTimer: NodeJS.Timeout | undefined;
    let notifyReader: (() => void) | undefined;
    let lastFlushAt = -Infinity;
    let isFlushScheduled = false;
    const ready: LinkFrame[] = [];
    const flush = (): void => {
        isFlushScheduled = false;
        lastFlushAt = monotonicNow();
        if (batch.length > 0) {
            ready.push(encodeFrame(batch));
            batch = [];
        }
        notifyReader?.();
    };
    const send = (message: AnyLinkMessage): void => {
        if (isClosed) {
            return;
        }
        batch.push(message);
        if (isFlushScheduled) {
            return;
        }
        isFlushScheduled = true;
        const wait = lastFlushAt + batchInterval - monotonicNow();
        if (wait <= 0) {
            setImmediate(flush);
            return;
        }
        flushTimer = setTimeout(flush, wait);
    };
    const close = (): void => {
        isClosed = true;
        clearTimeout(flushTimer);
        flush();
    };
    async function* frames(): AsyncGenerator<LinkFrame> {
        while (true) {
            const frame = ready.shift();
            if (frame !== undefined) {
                yield frame;
                continue;
            }
            if (isClosed) {
                return;
            }
            await new Promise<void>(resolve => notifyReader = resolve);
            notifyReader = undefined;
        }
    }
    return { send, close, frames };
}
