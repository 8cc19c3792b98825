export * from "./actions.js";
export * from "./fuzz.js";
export * from "./mutations.js";
export * from "./oracle.js";
export * from "./platform/index.js";
export * from "./runSchedule.js";
export * from "./world.js";
