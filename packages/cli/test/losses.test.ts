import { countLosses } from "@verbenaspring/cli";
import { test } from "uvu";
import * as assert from "uvu/assert";

const formatLine = (event: string, fields: string): string =>
    `time=2026-01-01T00:00:00.000Z level=info event=${event} ${fields}`;
const answered = (request: string, firstEventAge: number, longestPause: number): string =>
    formatLine(
        "stream_answered",
        `request=${request} route=plan firstEventAge=${firstEventAge} targetLatency=1800 longestPause=${longestPause}`,
    );

test("requests are counted by route and by what delayed or ended them", () => {
    const log = [
        answered("a", 400, 60),
        answered("b", 500, 60),
        answered("c", 1_900, 60),
        answered("d", 400, 900),
        formatLine("backend_server_changed", "server=s1 change=leaving"),
        formatLine("attempt_failed", "request=e route=plan server=s1 outcome=channel_lost"),
        formatLine("request_failed", "request=e route=plan reason=backend_server_failed outcome=outcome_unknown"),
        formatLine("request_failed", "request=f route=plan reason=overloaded outcome=not_run"),
        formatLine("request_failed", "request=g route=note reason=deadline_exceeded outcome=outcome_unknown"),
        formatLine("caller_left", "request=h route=note"),
        formatLine("caller_left_early", "request=i readDelay=900"),
        "a line without a time",
    ];
    const rows = countLosses([log.slice(0, 6).join("\n"), log.slice(6).join("\n")], { pause: 180 });
    assert.equal(rows.filter(({ route }) => route === "plan").map(({ cause, requests }) => [cause, requests]), [
        ["on time", 2],
        ["first event late", 1],
        ["long pause", 1],
        ["failed: channel_lost at a leaving server", 1],
        ["refused: overloaded", 1],
    ]);
    assert.equal(rows.filter(({ route }) => route === "note").map(({ cause }) => cause), [
        "failed: deadline_exceeded",
        "caller left after no failed send",
    ]);
    assert.equal(rows.filter(({ route }) => route === "").map(({ cause }) => cause), [
        "caller left before its request was read",
    ]);
});

test.run();
