export * from "./exitCodes.js";
export * from "./table.js";
