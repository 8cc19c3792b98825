/**
 * Checks of a request's framing that Node's parser leaves to its user.
 */
import type { IncomingMessage, Server } from "node:http";

/**
 * Makes a server keep all fields of a head. Node.js drops those beyond about 1,000 without an error, whatever they say; the
 * size of a head bounds them anyway.
 *
 * @example
 * keepAllFields(server);
 */
export function keepAllFields(server: Server): void {
    server.maxHeadersCount = 0;
}

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
