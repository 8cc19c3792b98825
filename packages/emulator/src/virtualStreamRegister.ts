/**
 * The register of streams in the model of the store, as gateways in virtual time access it.
 */
import type { BaseVersion, StreamRecord, StreamRegisterPage } from "@verbenaspring/gateway";
import { identifier, type LogOffset, type ServiceName, type SoftwareVersion } from "@verbenaspring/model";
import type { StoreModel } from "./storeModel.js";

const baseVersionTopic = "keyed.stream-versions";
const streamTopic = "streams";

/** Reads the base versions, and the records from an offset on or from the first one that is retained. */
export function readStreamRegister(model: StoreModel, from: LogOffset): StreamRegisterPage {
    const page = model.read(streamTopic, from);
    const retained = page.kind === "deleted" ? model.read(streamTopic, page.first) : page;
    const records = retained.kind === "records" ? retained.records : [];
    return {
        baseVersions: model.newestRecords(baseVersionTopic).map(({ key, value }) => ({
            service: identifier<ServiceName>(key),
            softwareVersion: decode<{ readonly version?: SoftwareVersion; }>(value).version,
        })),
        baseEnd: model.endOffset(baseVersionTopic),
        records: records.map(({ value }) => decode<StreamRecord>(value)),
        next: model.endOffset(streamTopic),
    };
}

/** Appends records of streams. */
export function appendStreamRecords(model: StoreModel, records: readonly StreamRecord[]): void {
    records.forEach(record => model.append(streamTopic, "", Buffer.from(JSON.stringify(record))));
}

/** Writes a base version, unless one was written from an offset on. */
export function writeBaseVersion(
    model: StoreModel,
    { service, softwareVersion }: BaseVersion,
    at: LogOffset,
): void {
    if (model.endOffset(baseVersionTopic) === at) {
        model.append(baseVersionTopic, service, Buffer.from(JSON.stringify({ version: softwareVersion })));
    }
}

function decode<Value>(value: Uint8Array): Value {
    return JSON.parse(Buffer.from(value).toString("utf8")) as Value;
}
