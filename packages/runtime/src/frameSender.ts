/**
 * Batches outgoing link messages into frames.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { LinkFrame } from "@verbenaspring/schema";
import { monotonicNow } from "./eventLoop.js";
import { type AnyLinkMessage, encodeFrame } from "./linkCodec.js";

/** The sending half of a link. */
export interface FrameSender {
    readonly send: (message: AnyLinkMessage) => void;
    /** Sends the current batch, then ends the stream. */
    readonly close: () => void;
    /** The frames in the order of sending; ends after {@link FrameSender.close}. */
    readonly frames: () => AsyncGenerator<LinkFrame>;
}

/**
 * Creates a sender. A frame holds at least the messages of one turn of Node's event loop, such as the tokens of one
 * step of an engine. At least the batch interval lies between two frames.
 *
 * @param batchInterval milliseconds between frames; 0 sends a frame after each turn of Node's event loop
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
