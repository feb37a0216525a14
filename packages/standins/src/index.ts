/**
 * Small stand-ins for what surrounds citronlead in tests and demos: the platform (key-value service, host list, weight
 * store), model engines and plain services. Each is a process of its own and takes orders to misbehave under /standin.
 */
export * from "./engine.js";
export * from "./enginememory.js";
export * from "./exchange.js";
export * from "./keyvaluestore.js";
export * from "./platform.js";
export * from "./service.js";
