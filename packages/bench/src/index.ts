export * from "./mixedLoad.js";
export * from "./processCluster.js";
export * from "./silentRelay.js";
export * from "./testCaller.js";
export * from "./userDocuments.js";
