/**
 * Checks of a request's framing that Node's parser leaves to its user.
 */
import type { IncomingMessage } from "node:http";

/** What the check reads of a request. */
export type FramedRequest = Pick<IncomingMessage, "httpVersion" | "headers">;

/**
 * Returns what is wrong with the framing of a request, or undefined. Node reads a request line without a version, or with
 * one that is not HTTP/1, like HTTP/1.1, where other recipients read an HTTP/0.9 request and then a second one. It also
 * accepts `gzip, chunked` and passes the coded bytes on as the body.
 *
 * @example
 * findFramingFault({ httpVersion: "1.1", headers: { "transfer-encoding": "gzip, chunked" } }); // "the transfer coding ..."
 */
export function findFramingFault({ httpVersion, headers }: FramedRequest): string | undefined {
    if (httpVersion !== "1.1" && httpVersion !== "1.0") {
        return "the version must be HTTP/1.1 or HTTP/1.0";
    }
    const coding = headers["transfer-encoding"];
    return coding === undefined || coding.trim().toLowerCase() === "chunked"
        ? undefined
        : "the transfer coding must be chunked alone";
}
