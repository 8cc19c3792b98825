/**
 * Builders for the records that tests fold.
 */
import type { ClaimStatement, OffsetRecord } from "@verbenaspring/coordination";
import { type ConfigurationChange, type ConfigurationRecord, identifier } from "@verbenaspring/model";

let changeCount = 0;

/** Returns a change that writes a drain document, the smallest kind of document. */
export function put(name: string, expectedRevision: number): ConfigurationChange {
    changeCount++;
    return { changeId: identifier(`change-${changeCount}`), kind: "drain", name, expectedRevision, document: { name } };
}

/** Returns a change that deletes a drain document. */
export function remove(name: string, expectedRevision: number): ConfigurationChange {
    return { ...put(name, expectedRevision), document: undefined };
}

/** Returns the record of a change. */
export function changeAt(offset: number, change: ConfigurationChange): OffsetRecord<ConfigurationRecord> {
    return { offset, value: { type: "change", change } };
}

/** Returns a claim of a key. */
export function claim(key: string, claimId: string): ClaimStatement {
    return { type: "claim", key: identifier(key), claimId: identifier(claimId), requestDigest: "digest" };
}

/** Returns the release of a claim. */
export function release(key: string, claimId: string): ClaimStatement {
    return { type: "release", key: identifier(key), claimId: identifier(claimId) };
}
