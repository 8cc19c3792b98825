/**
 * Converts the reports that gateways exchange to messages of the schema and back.
 */
import type { PeerReport, TopicName } from "@verbenaspring/gateway";
import { type GatewayIncarnation, identifier, type PeerAddress } from "@verbenaspring/model";
import type { PeerReport as PeerReportMessage } from "@verbenaspring/schema";

/** A report message without the properties that the protobuf library adds. */
export type ReportInit = Omit<PeerReportMessage, "$typeName" | "$unknown">;

/** Converts a report to a message. */
export function encodeReport(report: PeerReport): ReportInit {
    const { address, incarnation, members, isStopping, topics, loads, isFull, waitingRequests } = report;
    return {
        address,
        incarnation,
        members: [...members],
        isStopping,
        isFull,
        waitingRequests,
        topics: topics.map(topic => ({
            $typeName: "verbenaspring.v1.PeerTopic",
            name: topic.name,
            since: topic.since,
            reader: topic.read.reader,
            readCount: topic.read.count,
            through: topic.through,
            age: topic.age,
            isComplete: topic.isComplete,
            items: topic.items.map(({ key, offset, value }) => ({
                $typeName: "verbenaspring.v1.PeerTopicItem",
                key,
                offset,
                value: Uint8Array.from(value),
            })),
        })),
        loads: loads.map(load => ({ $typeName: "verbenaspring.v1.PeerLoad", ...load })),
        requestLimits: report.requestLimits.map(limit => ({
            $typeName: "verbenaspring.v1.PeerRequestLimit",
            ...limit,
        })),
        leavingServers: report.leavingServers.map(notice => ({
            $typeName: "verbenaspring.v1.PeerLeavingServer",
            ...notice,
        })),
    };
}

/** Converts a message to a report. */
export function decodeReport(message: PeerReportMessage): PeerReport {
    const { address, incarnation, members, isStopping, topics, loads, isFull, waitingRequests } = message;
    return {
        address: identifier(address),
        incarnation: identifier(incarnation),
        members: members.map(member => identifier<PeerAddress>(member)),
        isStopping,
        isFull,
        waitingRequests,
        topics: topics.map(({ name, since, reader, readCount, through, age, items, isComplete }) => ({
            name: name as TopicName,
            read: { reader: identifier<GatewayIncarnation>(reader), count: readCount },
            since,
            through,
            age,
            items,
            isComplete,
        })),
        loads: loads.map(load => ({ ...load, backendServer: identifier(load.backendServer) })),
        requestLimits: message.requestLimits.map(({ backendServer, perSecond, age }) => ({
            backendServer: identifier(backendServer),
            perSecond,
            age,
        })),
        leavingServers: message.leavingServers.map(({ backendServer, startedAt }) => ({
            backendServer: identifier(backendServer),
            startedAt,
        })),
    };
}
