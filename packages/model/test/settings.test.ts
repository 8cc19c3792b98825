import { parseSettings, type SettingsError, type SettingsProblem } from "@verbenaspring/model";
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";

const example = (name: string): string => readFileSync(new URL(`../../../examples/${name}`, import.meta.url), "utf8");

function faultsOf(text: string): readonly SettingsProblem[] {
    try {
        parseSettings("test.jsonc", text);
        return [];
    }
    catch (error) {
        return (error as SettingsError).problems;
    }
}

test("each example is in order and has its defaults filled in", () => {
    const entry = parseSettings("entry.jsonc", example("entry.jsonc"));
    const sidecar = parseSettings("sidecar.jsonc", example("sidecar.jsonc"));
    assert.is(entry.role, "entry");
    assert.is(entry.link.heartbeatInterval, 500);
    assert.is(sidecar.role, "sidecar");
});

test("every fault is reported at once, with its line and key", () => {
    const text = example("entry.jsonc")
        .replace("\"127.0.0.1:8080\"", "\"localhost:8080\"")
        .replace("\"example-operator-token\"", "\"short\"")
        .replace("\"peerAddresses\": []", "\"peerAddresses\": [\"127.0.0.1\"], \"colour\": 1");
    const faults = faultsOf(text);
    assert.equal(faults.map(fault => fault.key).sort(), [
        "callerAddress",
        "colour",
        "operatorToken",
        "peerAddresses.0",
    ]);
    assert.is(faults.find(fault => fault.key === "callerAddress")?.line, 6);
});

test("a file that is not JSON is reported with the line of the fault", () => {
    assert.is(faultsOf("{\n\"role\": \"entry\",\n]")[0].line, 3);
});

test("an unknown role names the key", () => {
    assert.is(faultsOf("{ \"role\": \"leader\" }")[0].key, "role");
});

test.run();
