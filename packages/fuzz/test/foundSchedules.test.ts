/**
 * Schedules that broke a promise once. Each was shrunk by the fuzzer and failed before its repair.
 */
import { runSchedule, type Schedule } from "@verbenaspring/fuzz";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "uvu";

const directory = new URL("found/", import.meta.url);

for (const file of readdirSync(directory).sort()) {
    const { what, schedule } = JSON.parse(readFileSync(new URL(file, directory), "utf8")) as {
        what: string;
        schedule: Schedule;
    };
    test(`${file}: ${what}`, () => runSchedule(schedule));
}

test.run();
