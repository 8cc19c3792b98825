/**
 * The register of streams in the model of the store, as gateways in virtual time access it.
 */
import type { BaseVersion, StreamRecord, StreamRegisterPage } from "@verbenaspring/gateway";
import type { LogOffset } from "@verbenaspring/model";
import {
    baseVersionTopic,
    decodeBaseVersion,
    decodeStreamRecord,
    encodeBaseVersion,
    encodeStreamRecord,
    streamTopic,
} from "@verbenaspring/platform";
import type { StoreModel } from "./storeModel.js";

/** Reads the base versions, and the records from an offset on or from the first one that is retained. */
export function readStreamRegister(model: StoreModel, from: LogOffset): StreamRegisterPage {
    const page = model.read(streamTopic, from);
    const retained = page.kind === "deleted" ? model.read(streamTopic, page.first) : page;
    const records = retained.kind === "records" ? retained.records : [];
    return {
        baseVersions: model.newestRecords(baseVersionTopic).map(({ key, value }) => decodeBaseVersion(key, value)),
        baseEnd: model.endOffset(baseVersionTopic),
        records: records.map(({ value }) => decodeStreamRecord(value)),
        next: model.endOffset(streamTopic),
    };
}

/** Appends records of streams. */
export function appendStreamRecords(model: StoreModel, records: readonly StreamRecord[]): void {
    records.forEach(record => model.append(streamTopic, "", encodeStreamRecord(record)));
}

/** Writes a base version, unless one was written from an offset on. */
export function writeBaseVersion(
    model: StoreModel,
    baseVersion: BaseVersion,
    at: LogOffset,
): void {
    if (model.endOffset(baseVersionTopic) === at) {
        model.append(baseVersionTopic, baseVersion.service, encodeBaseVersion(baseVersion));
    }
}
