export * from "./actions.js";
export * from "./faultRecord.js";
export * from "./limits.js";
export * from "./mutations.js";
export * from "./oracle.js";
export * from "./requestKinds.js";
export * from "./runSchedule.js";
export * from "./versions.js";
