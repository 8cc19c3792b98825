export * from "./actions.js";
export * from "./bounds.js";
export * from "./harm.js";
export * from "./mutations.js";
export * from "./oracle.js";
export * from "./runSchedule.js";
export * from "./versions.js";
export * from "./works.js";
