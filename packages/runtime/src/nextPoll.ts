/**
 * Waits for the loop to poll all sockets.
 */

/**
 * Calls back once every socket has been polled after the call, and what had arrived by then has been reported. The first
 * of the two turns is the one in progress, whose poll may be over already.
 *
 * @example
 * afterNextPoll(() => hasLeft(request) ? drop(request) : accept(request));
 */
export function afterNextPoll(callback: () => void): void {
    setImmediate(() => setImmediate(callback));
}
