/**
 * Schedules that broke a promise once, one file each.
 */
import { readdirSync, readFileSync } from "node:fs";
import { test } from "uvu";

interface KeptSchedule<Schedule> {
    /** What was broken. */
    readonly what: string;
    readonly schedule: Schedule;
}

/** Adds a test for each schedule in a folder beside this file. */
export function testKeptSchedules<Schedule>(folder: string, run: (schedule: Schedule) => void): void {
    const directory = new URL(`${folder}/`, import.meta.url);
    for (const file of readdirSync(directory).sort()) {
        const text = readFileSync(new URL(file, directory), "utf8");
        const { what, schedule } = JSON.parse(text) as KeptSchedule<Schedule>;
        test(`${file}: ${what}`, () => run(schedule));
    }
}
