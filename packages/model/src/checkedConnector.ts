/**
 * Connections of HTTP clients on which answers that are malformed or cut fail.
 */
import { checkConnectionEnd, type EndingSocket } from "./connectionEnd.js";
import { type CheckedSocket, checkStatusLines } from "./statusLine.js";

/** Opens connections for a client. */
export type Connector<Options, Socket> = (
    options: Options,
    callback: (...result: [error: null, socket: Socket] | [error: Error, socket: null]) => void,
) => void;

/**
 * Makes a connector whose connections {@link checkConnectionEnd} and {@link checkStatusLines} check.
 *
 * @example
 * new Client("http://127.0.0.1:8080", { connect: withCheckedAnswers(buildConnector({ timeout: 400 })) });
 */
export function withCheckedAnswers<Options, Socket extends CheckedSocket & EndingSocket>(
    connect: Connector<Options, Socket>,
): Connector<Options, Socket> {
    return (options, callback) =>
        connect(options, (...result) => {
            // The connector of the HTTP client calls back with an error alone.
            if (result[0] === null) {
                checkConnectionEnd(result[1]);
                checkStatusLines(result[1]);
            }
            callback(...result);
        });
}
