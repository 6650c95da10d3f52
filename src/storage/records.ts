/**
 * Re-exports the state store's keys and record codecs for other folders. Each kind of record has a
 * module with its type, the stored names of its fields, and an encoder and a parser. The output of
 * an encoder is stored data: changing the name or the order of its fields changes the format.
 */
export * from "./controller-records.js";
export * from "./job-records.js";
export * from "./keys.js";
export * from "./machine-records.js";
export * from "./rental-records.js";
