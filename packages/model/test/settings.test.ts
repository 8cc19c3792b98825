import { parseSettings, type SettingsError, type SettingsProblem } from "@verbenaspring/model";
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";

const example = (name: string): string => readFileSync(new URL(`../../../examples/${name}`, import.meta.url), "utf8");

function problemsOf(text: string): readonly SettingsProblem[] {
    try {
        parseSettings("test.jsonc", text);
        return [];
    }
    catch (error) {
        return (error as SettingsError).problems;
    }
}

test("each example is valid and gets its defaults", () => {
    const entry = parseSettings("entry.jsonc", example("entry.jsonc"));
    const sidecar = parseSettings("sidecar.jsonc", example("sidecar.jsonc"));
    assert.is(entry.role, "entry");
    assert.is(entry.link.heartbeatInterval, 500);
    assert.is(sidecar.role, "sidecar");
});

test("all problems are reported at once, with their lines and keys", () => {
    const text = example("entry.jsonc")
        .replace("\"127.0.0.1:8080\"", "\"localhost:8080\"")
        .replace("\"example-operator-token\"", "\"short\"")
        .replace("\"peerAddresses\": []", "\"peerAddresses\": [\"127.0.0.1\"], \"colour\": 1");
    const problems = problemsOf(text);
    assert.equal(problems.map(problem => problem.key).sort(), [
        "callerAddress",
        "colour",
        "operatorToken",
        "peerAddresses.0",
    ]);
    assert.is(problems.find(problem => problem.key === "callerAddress")?.line, 6);
});

test("a syntax error is reported with its line", () => {
    assert.is(problemsOf("{\n\"role\": \"entry\",\n]")[0].line, 3);
});

test("an unknown role is reported with its key", () => {
    assert.is(problemsOf("{ \"role\": \"leader\" }")[0].key, "role");
});

test.run();
