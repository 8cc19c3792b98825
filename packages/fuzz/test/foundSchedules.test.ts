/**
 * Runs the recorded schedules of entries and sidecars. The fuzzer found and shrank them; each broke a promise until the
 * defect behind it was fixed.
 */
import { runSchedule, type Schedule } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testRecordedSchedules } from "./recordedSchedules.js";

testRecordedSchedules<Schedule>("found", schedule => runSchedule(schedule));

test.run();
