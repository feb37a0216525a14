/**
 * What operators write: the fleet's configuration (profiles, pools, models, services, keys) and the settings of one
 * process. Everything is checked before it is used, and a problem names its file, line, column and key.
 */
export * from "./document.js";
export * from "./fleet.js";
export * from "./keys.js";
export * from "./settings.js";
export * from "./source.js";
export * from "./units.js";
