export * from "./backendServers.js";
export * from "./effect.js";
export * from "./event.js";
export * from "./messages.js";
export * from "./options.js";
export * from "./reducer.js";
export * from "./routingConfiguration.js";
export * from "./state.js";
