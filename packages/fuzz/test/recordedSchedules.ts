/**
 * Tests of recorded schedules that once broke a promise. Each schedule is a file.
 */
import { readdirSync, readFileSync } from "node:fs";
import { test } from "uvu";

interface RecordedSchedule<Schedule> {
    /** What the schedule broke. */
    readonly what: string;
    readonly schedule: Schedule;
}

/** Adds a test for each schedule in a folder next to this file. */
export function testRecordedSchedules<Schedule>(folder: string, run: (schedule: Schedule) => void): void {
    const directory = new URL(`${folder}/`, import.meta.url);
    for (const file of readdirSync(directory).sort()) {
        const text = readFileSync(new URL(file, directory), "utf8");
        const { what, schedule } = JSON.parse(text) as RecordedSchedule<Schedule>;
        test(`${file}: ${what}`, () => run(schedule));
    }
}
