/**
 * The inner protocol: the messages that routers exchange, generated from the files under proto/. Regenerate with
 * `npm run generate --workspace packages/protocol`.
 */
export * from "./generated/citronlead/peer/v1/admission_pb.js";
export * from "./generated/citronlead/peer/v1/configuration_pb.js";
export * from "./generated/citronlead/peer/v1/membership_pb.js";
export * from "./generated/citronlead/peer/v1/peer_pb.js";
export * from "./generated/citronlead/peer/v1/quarantine_pb.js";
export * from "./generated/citronlead/peer/v1/scheduling_pb.js";
