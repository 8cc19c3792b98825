export * from "./checkedConnector.js";
export * from "./configuration.js";
export * from "./connectionEnd.js";
export * from "./errors.js";
export * from "./identifiers.js";
export * from "./settings.js";
export * from "./statusLine.js";
