import { explainRequest } from "@verbenaspring/cli";
import { validateConfiguration } from "@verbenaspring/platform";
import { test } from "uvu";
import * as assert from "uvu/assert";

const formatLine = (second: number, event: string, fields: string): string =>
    `time=2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z level=info event=${event} ${fields}`;

test("a request's lines from all files are sorted by time, with each change of its servers once", () => {
    const firstLog = [
        formatLine(4, "attempt_failed", "request=r server=s1 outcome=channel_lost"),
        formatLine(3, "backend_server_changed", "server=s1 change=leaving"),
        formatLine(3, "backend_server_changed", "server=s9 change=leaving"),
        "a line without a time",
    ];
    const secondLog = [
        formatLine(2, "attempt_sent", "request=r server=s1"),
        formatLine(3, "backend_server_changed", "server=s1 change=leaving"),
        formatLine(5, "request_failed", "request=r reason=\"with spaces\""),
        formatLine(4, "attempt_sent", "request=other server=s1"),
    ];
    const events = explainRequest([firstLog.join("\n"), secondLog.join("\n")], "r").map(text =>
        /event=(\S+)/.exec(text)![1]
    );
    assert.equal(events, ["attempt_sent", "backend_server_changed", "attempt_failed", "request_failed"]);
    assert.equal(explainRequest([firstLog.join("\n")], "unknown"), []);
});

test("all errors of a configuration are listed with their paths", () => {
    const document = {
        version: 1,
        routes: [{
            name: "a",
            hostname: "h",
            pathPrefix: "/a",
            routeType: "idempotent",
            timeoutMs: 1,
            service: "none",
        }],
        services: [{ name: "s" }, { name: "s" }],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const errors = validateConfiguration(new TextEncoder().encode(JSON.stringify(document)));
    assert.is(errors.length, 3, errors.join("\n"));
    assert.ok(errors.every(error => /^(routes|services)/.test(error)));
});

test.run();
