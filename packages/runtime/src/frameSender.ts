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
    let gathered: AnyLinkMessage[] = [];
    let isClosed = false;
    let timer: NodeJS.Timeout | undefined;
    let wake: (() => void) | undefined;
    let flushedAt = -Infinity;
    let isScheduled = false;
    const ready: LinkFrame[] = [];
    const flush = (): void => {
        isScheduled = false;
        flushedAt = monotonicNow();
        if (gathered.length > 0) {
            ready.push(encodeFrame(gathered));
            gathered = [];
        }
        wake?.();
    };
    const send = (message: AnyLinkMessage): void => {
        if (isClosed) {
            return;
        }
        gathered.push(message);
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        const wait = flushedAt + batchInterval - monotonicNow();
        if (wait <= 0) {
            setImmediate(flush);
            return;
        }
        timer = setTimeout(flush, wait);
    };
    const close = (): void => {
        isClosed = true;
        clearTimeout(timer);
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
            await new Promise<void>(resolve => wake = resolve);
            wake = undefined;
        }
    }
    return { send, close, frames };
}
