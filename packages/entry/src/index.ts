export * from "./effect.js";
export * from "./event.js";
export * from "./policies.js";
export * from "./reducer.js";
export * from "./state.js";
