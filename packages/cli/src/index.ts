export * from "./exitCodes.js";
export * from "./explain.js";
export * from "./table.js";
