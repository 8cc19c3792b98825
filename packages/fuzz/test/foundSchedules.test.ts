/**
 * Schedules that broke a promise once. Each was shrunk by the fuzzer and failed before its repair.
 */
import { runSchedule, type Schedule } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testKeptSchedules } from "./keptSchedules.js";

testKeptSchedules<Schedule>("found", schedule => runSchedule(schedule));

test.run();
