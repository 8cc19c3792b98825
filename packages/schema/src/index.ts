export * from "./generated/link_pb.js";
export * from "./generated/operator_pb.js";
export * from "./generated/peer_pb.js";
