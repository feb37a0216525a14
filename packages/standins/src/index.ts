/**
 * Stand-ins for the systems around citronlead, for tests and demos: the platform (key-value service, host list, weight
 * store), model engines and plain services. Each can run as its own process; PUT /standin/faults makes it simulate faults.
 */
export * from "./engine.js";
export * from "./enginememory.js";
export * from "./exchange.js";
export * from "./keyvaluestore.js";
export * from "./platform.js";
export * from "./service.js";
