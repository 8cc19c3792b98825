export * from "./actions.js";
export * from "./mutations.js";
export * from "./oracle.js";
export * from "./runSchedule.js";
export * from "./versions.js";
