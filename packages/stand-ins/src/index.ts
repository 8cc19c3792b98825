export * from "./backendServerStandIn.js";
export * from "./engineModel.js";
export * from "./engineStandIn.js";
export * from "./httpStandIn.js";
export * from "./instanceListStandIn.js";
export * from "./logStandIn.js";
export * from "./platformStoreStandIn.js";
export * from "./serviceStandIn.js";
