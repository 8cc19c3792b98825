export * from "./exitCodes.js";
export * from "./explain.js";
export * from "./logLines.js";
export * from "./losses.js";
export * from "./table.js";
