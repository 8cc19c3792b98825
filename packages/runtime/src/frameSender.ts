/**
 * Gathers messages for one batch interval and gives them out as frames.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { LinkFrame } from "@verbenaspring/schema";
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
 * Creates a sender.
 *
 * @param batchInterval how long messages are gathered; 0 sends each at once
 * @example
 * const sender = createFrameSender(4);
 */
export function createFrameSender(batchInterval: Milliseconds): FrameSender {
    let gathered: AnyLinkMessage[] = [];
    let isClosed = false;
    let timer: NodeJS.Timeout | undefined;
    let wake: (() => void) | undefined;
    const ready: LinkFrame[] = [];
    const flush = (): void => {
        timer = undefined;
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
        if (batchInterval === 0) {
            return flush();
        }
        timer ??= setTimeout(flush, batchInterval);
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
