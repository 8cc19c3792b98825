export * from "./soak.js";
export * from "./soakCallers.js";
export * from "./soakFaults.js";
export * from "./soakOracle.js";
export * from "./soakWorld.js";
