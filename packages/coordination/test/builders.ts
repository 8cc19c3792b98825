/**
 * Builders that let a test read as its case.
 */
import type { ClaimStatement, OffsetRecord } from "@verbenaspring/coordination";
import { type ConfigurationChange, type ConfigurationRecord, identifier } from "@verbenaspring/model";

let changes = 0;

/** A change that puts a drain document, the smallest there is. */
export function put(name: string, expectedRevision: number): ConfigurationChange {
    changes++;
    return { changeId: identifier(`change-${changes}`), kind: "drain", name, expectedRevision, document: { name } };
}

/** A change that deletes it. */
export function remove(name: string, expectedRevision: number): ConfigurationChange {
    return { ...put(name, expectedRevision), document: undefined };
}

/** A record of a change. */
export function changeAt(offset: number, change: ConfigurationChange): OffsetRecord<ConfigurationRecord> {
    return { offset, value: { type: "change", change } };
}

/** A claim of a key. */
export function claim(key: string, claimId: string): ClaimStatement {
    return { type: "claim", key: identifier(key), claimId: identifier(claimId), requestDigest: "digest" };
}

/** The release of a claim. */
export function release(key: string, claimId: string): ClaimStatement {
    return { type: "release", key: identifier(key), claimId: identifier(claimId) };
}
