/**
 * Converts the reports that gateways exchange to messages of the schema and back.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type {
    MemberRecord,
    PeerCrashSuspect,
    PeerLoad,
    PeerReport,
    PeerRequestLimit,
    RelayedRecord,
    TopicItem,
    TopicName,
} from "@verbenaspring/gateway";
import { type GatewayIncarnation, identifier, type PeerAddress } from "@verbenaspring/model";
import {
    MemberRecordSchema,
    type PeerCrashSuspect as PeerCrashSuspectMessage,
    type PeerLoad as PeerLoadMessage,
    type PeerReport as PeerReportMessage,
    type PeerRequestLimit as PeerRequestLimitMessage,
    type PeerTopicItem as PeerTopicItemMessage,
} from "@verbenaspring/schema";

/** A report message without the properties that the protobuf library adds. */
export type ReportInit = Omit<PeerReportMessage, "$typeName" | "$unknown">;

/** Converts a report to a message. */
export function encodeReport(report: PeerReport): ReportInit {
    const { address, incarnation, members, isStopping, topics, loads, isFull, waitingRequests } = report;
    return {
        address,
        incarnation,
        protocol: report.protocol,
        wantsLink: report.wantsLink,
        sentAt: report.sentAt,
        echo: report.echo === undefined ? undefined : { $typeName: "verbenaspring.v1.ReportEcho", ...report.echo },
        records: report.records.map(encodeRelayedRecord),
        members: [...members],
        isStopping,
        isFull,
        waitingRequests,
        configurationVersion: report.configurationVersion,
        configurationItem: report.configurationItem && encodeItem(report.configurationItem),
        topics: topics.map(topic => ({
            $typeName: "verbenaspring.v1.PeerTopic",
            name: topic.name,
            since: topic.since,
            reader: topic.read.reader,
            readCount: topic.read.count,
            through: topic.through,
            age: topic.age,
            isComplete: topic.isComplete,
            lacksRecords: topic.lacksRecords ?? false,
            history: topic.history ?? 0,
            digest: topic.digest,
            removalGaps: (topic.removalGaps ?? []).map(({ from, to }) => ({
                $typeName: "verbenaspring.v1.OffsetRange",
                from,
                to,
            })),
            items: topic.items.map(encodeItem),
        })),
        loads: loads.map(encodeLoad),
        requestLimits: report.requestLimits.map(encodeLimit),
        leavingServers: report.leavingServers.map(notice => ({
            $typeName: "verbenaspring.v1.PeerLeavingServer",
            ...notice,
        })),
        crashSuspects: report.crashSuspects.map(encodeSuspect),
    };
}

function encodeItem({ key, offset, value }: TopicItem): PeerTopicItemMessage {
    return { $typeName: "verbenaspring.v1.PeerTopicItem", key, offset, value: Uint8Array.from(value) };
}

function encodeSuspect({ id, isCommon, crashes }: PeerCrashSuspect): PeerCrashSuspectMessage {
    return {
        $typeName: "verbenaspring.v1.PeerCrashSuspect",
        id,
        isCommon,
        crashes: crashes.map(crash => ({ $typeName: "verbenaspring.v1.PeerServerCrash", ...crash })),
    };
}

/** The records as encoded last. A record is sent to all peers; its encoding takes most of the time of a report. */
const encodedRecords = new WeakMap<MemberRecord, Uint8Array>();

/** Encodes a record with its age. Encoded messages that are put together are read as one, so the age follows the rest. */
function encodeRelayedRecord({ record, age }: RelayedRecord): Uint8Array {
    const encoded = encodedRecords.get(record) ?? encodeRecord(record);
    encodedRecords.set(record, encoded);
    return age === 0
        ? encoded
        : Buffer.concat([encoded, toBinary(MemberRecordSchema, create(MemberRecordSchema, { age }))]);
}

function encodeRecord(record: MemberRecord): Uint8Array {
    return toBinary(
        MemberRecordSchema,
        create(MemberRecordSchema, {
            ...record,
            loads: record.loads.map(encodeLoad),
            requestLimits: record.requestLimits.map(encodeLimit),
        }),
    );
}

function encodeLoad(load: PeerLoad): PeerLoadMessage {
    return { $typeName: "verbenaspring.v1.PeerLoad", ...load };
}

function encodeLimit(limit: PeerRequestLimit): PeerRequestLimitMessage {
    return { $typeName: "verbenaspring.v1.PeerRequestLimit", ...limit };
}

/** Converts a message to a report. */
export function decodeReport(message: PeerReportMessage): PeerReport {
    const { address, incarnation, members, isStopping, topics, loads, isFull, waitingRequests } = message;
    return {
        address: identifier(address),
        incarnation: identifier(incarnation),
        protocol: message.protocol,
        wantsLink: message.wantsLink,
        sentAt: message.sentAt,
        echo: message.echo === undefined
            ? undefined
            : { sentAt: message.echo.sentAt, heldFor: message.echo.heldFor },
        records: message.records.map(decodeRecord),
        members: members.map(member => identifier<PeerAddress>(member)),
        isStopping,
        isFull,
        waitingRequests,
        configurationVersion: message.configurationVersion,
        configurationItem: message.configurationItem,
        topics: topics.map(topic => ({
            name: topic.name as TopicName,
            removalGaps: topic.removalGaps.map(({ from, to }) => ({ from, to })),
            lacksRecords: topic.lacksRecords,
            history: topic.history,
            digest: topic.digest,
            read: { reader: identifier<GatewayIncarnation>(topic.reader), count: topic.readCount },
            since: topic.since,
            through: topic.through,
            age: topic.age,
            items: topic.items,
            isComplete: topic.isComplete,
        })),
        loads: loads.map(decodeLoad),
        requestLimits: message.requestLimits.map(decodeLimit),
        leavingServers: message.leavingServers.map(({ backendServer, startedAt }) => ({
            backendServer: identifier(backendServer),
            startedAt,
        })),
        crashSuspects: message.crashSuspects.map(decodeSuspect),
    };
}

function decodeSuspect({ id, isCommon, crashes }: PeerCrashSuspectMessage): PeerCrashSuspect {
    return {
        id: identifier(id),
        isCommon,
        crashes: crashes.map(({ backendServer, startedAt, age, isCleared }) => ({
            backendServer: identifier(backendServer),
            startedAt,
            age,
            isCleared,
        })),
    };
}

function decodeRecord(bytes: Uint8Array): RelayedRecord {
    const message = fromBinary(MemberRecordSchema, bytes);
    const record: MemberRecord = {
        address: identifier(message.address),
        incarnation: identifier(message.incarnation),
        incarnationNumber: message.incarnationNumber,
        version: message.version,
        failureDomain: identifier(message.failureDomain),
        isStopping: message.isStopping,
        linkRate: message.linkRate,
        waitingRequests: message.waitingRequests,
        loads: message.loads.map(decodeLoad),
        requestLimits: message.requestLimits.map(decodeLimit),
    };
    return { record, age: message.age };
}

function decodeLoad(message: PeerLoadMessage): PeerLoad {
    const { backendServer, inProgress, memoryTokens, copiedTokens, waitingTokens } = message;
    return { backendServer: identifier(backendServer), inProgress, memoryTokens, copiedTokens, waitingTokens };
}

function decodeLimit({ backendServer, perSecond, age }: PeerRequestLimitMessage): PeerRequestLimit {
    return { backendServer: identifier(backendServer), perSecond, age };
}
