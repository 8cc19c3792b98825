import { explainRequest } from "@verbenaspring/cli";
import { validateConfiguration } from "@verbenaspring/platform";
import { test } from "uvu";
import * as assert from "uvu/assert";

const line = (second: number, event: string, fields: string): string =>
    `time=2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z level=info event=${event} ${fields}`;

test("the lines of a request are put in order over all files, with the changes of its servers once", () => {
    const one = [
        line(4, "attempt_failed", "request=r server=s1 outcome=channel_lost"),
        line(3, "backend_server_changed", "server=s1 change=leaving"),
        line(3, "backend_server_changed", "server=s9 change=leaving"),
        "a line that is no log line",
    ];
    const two = [
        line(2, "attempt_sent", "request=r server=s1"),
        line(3, "backend_server_changed", "server=s1 change=leaving"),
        line(5, "request_failed", "request=r reason=\"with spaces\""),
        line(4, "attempt_sent", "request=other server=s1"),
    ];
    const events = explainRequest([one.join("\n"), two.join("\n")], "r").map(text => /event=(\S+)/.exec(text)![1]);
    assert.equal(events, ["attempt_sent", "backend_server_changed", "attempt_failed", "request_failed"]);
    assert.equal(explainRequest([one.join("\n")], "unknown"), []);
});

test("a configuration's faults are all named with their places", () => {
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
    const faults = validateConfiguration(new TextEncoder().encode(JSON.stringify(document)));
    assert.is(faults.length, 3, faults.join("\n"));
    assert.ok(faults.every(fault => /^(routes|services)/.test(fault)));
});

test.run();
