export * from "./engineLoad.js";
export * from "./engineLoadSizes.js";
export * from "./faultRelay.js";
export * from "./gatewayProcess.js";
export * from "./mixedLoad.js";
export * from "./processCluster.js";
export * from "./testCaller.js";
export * from "./userDocuments.js";
