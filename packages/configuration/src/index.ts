/**
 * The files that operators write: the fleet's configuration (profiles, pools, models, services) and the settings of one
 * router process; and the key records stored with the configuration. Every file is validated before it is used; each
 * problem is reported with its file, line, column and key.
 */
export * from "./document.js";
export * from "./fleet.js";
export * from "./keys.js";
export * from "./settings.js";
export * from "./source.js";
export * from "./units.js";
