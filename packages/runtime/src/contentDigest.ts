/**
 * The digest by which the repeats of a request are recognised.
 */
import type { RequestHead } from "@verbenaspring/gateway";
import { type ContentDigest, identifier } from "@verbenaspring/model";
import { createHash } from "node:crypto";

/** 96 bits, so that a caller can't find a request with the digest of another one. */
const digestCharacters = 16;

/**
 * Digests the method, host, target and body of a request. Headers are left out, since repeats differ in them.
 *
 * @example
 * const digest = digestContent(head, body); // "n4bQgYhMfWWaL-qg"
 */
export function digestContent({ method, host, target }: RequestHead, body: Uint8Array): ContentDigest {
    const digest = createHash("sha256").update(`${method} ${host} ${target}\n`).update(body).digest("base64url");
    return identifier(digest.slice(0, digestCharacters));
}
