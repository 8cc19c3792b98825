import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { PeerReport } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { decodeReport, encodeReport } from "@verbenaspring/runtime";
import { PeerReportSchema } from "@verbenaspring/schema";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("a report is decoded as it was encoded", () => {
    const report: PeerReport = {
        address: identifier("10.1.0.1:8748"),
        incarnation: identifier("one"),
        members: [identifier("10.1.0.2:8748")],
        isStopping: true,
        isFull: false,
        waitingRequests: 3,
        topics: [
            {
                name: "configuration",
                since: 3,
                through: 9,
                read: { reader: identifier("two"), count: 7 },
                age: 12.5,
                items: [{ key: "config", offset: 8, value: new Uint8Array([1, 2, 255]) }],
                isComplete: false,
                removalGaps: [{ from: 4, to: 7 }, { from: 7, to: 9 }],
                lacksRecords: true,
                digest: 4_294_967_295,
                history: 2,
            },
            {
                name: "backendServers",
                since: 0,
                through: undefined,
                read: { reader: identifier("one"), count: 0 },
                age: 0,
                items: [],
                isComplete: true,
                removalGaps: [],
                lacksRecords: false,
                digest: undefined,
                history: 0,
            },
        ],
        configurationVersion: 76,
        configurationItem: { key: "config", offset: 8, value: new Uint8Array([1, 2, 255]) },
        loads: [
            {
                backendServer: identifier("i-1"),
                inProgress: 2,
                memoryTokens: 4_096,
                copiedTokens: 1_024,
                waitingTokens: 0,
            },
        ],
        protocol: 1,
        wantsLink: true,
        sentAt: 81_234.5,
        echo: { sentAt: 9_321.25, heldFor: 480.5 },
        records: [{
            record: {
                address: identifier("10.1.0.9:8748"),
                incarnation: identifier("nine"),
                incarnationNumber: 2,
                version: 70_000,
                failureDomain: identifier("near"),
                isStopping: true,
                waitingRequests: 3,
                loads: [{
                    backendServer: identifier("i-1"),
                    inProgress: 1,
                    memoryTokens: 2_000,
                    copiedTokens: 0,
                    waitingTokens: 7,
                }],
                requestLimits: [{ backendServer: identifier("i-1"), perSecond: 2.5, age: 5 }],
            },
            age: 12.5,
        }],
        crashSuspects: [{
            id: identifier("5c1e"),
            isCommon: true,
            crashes: [
                { backendServer: identifier("i-1"), startedAt: 1_767_000_000_000, age: 12.5, isCleared: true },
                { backendServer: identifier("i-2"), startedAt: undefined, age: 0, isCleared: false },
            ],
        }],
        leavingServers: [
            { backendServer: identifier("i-2"), startedAt: 7 },
            { backendServer: identifier("i-3"), startedAt: undefined },
        ],
        requestLimits: [
            { backendServer: identifier("i-1"), perSecond: 1.4, age: 20 },
            { backendServer: identifier("i-2"), perSecond: undefined, age: 30 },
        ],
    };
    const bytes = toBinary(PeerReportSchema, create(PeerReportSchema, encodeReport(report)));
    const { $typeName, ...decoded } = decodeReport(fromBinary(PeerReportSchema, bytes)) as PeerReport & {
        $typeName?: string;
    };
    assert.is($typeName, undefined);
    assert.equal(
        JSON.parse(JSON.stringify(withoutTypeNames(decoded))),
        JSON.parse(JSON.stringify(withoutTypeNames(report))),
    );
});

/** Removes the type names that the protobuf library adds to messages, and sorts the fields. */
function withoutTypeNames(value: unknown): unknown {
    if (value instanceof Uint8Array) {
        return [...value];
    }
    if (Array.isArray(value)) {
        return value.map(withoutTypeNames);
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    const entries = Object.entries(value).filter(([key]) => !key.startsWith("$"));
    return Object.fromEntries(
        entries.map(([key, inner]) => [key, withoutTypeNames(inner)]).sort(([one], [other]) =>
            String(one) < String(other) ? -1 : 1
        ),
    );
}

test.run();
