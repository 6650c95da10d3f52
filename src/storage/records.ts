/**
 * The index of the state store's keys and record codecs, for importers of other folders: it states
 * nothing of its own. Each family of records has a module with its type, the stored name of each
 * field and the pair of functions that write and read it. A codec's output is stored data: a
 * changed name or order of fields is a changed format.
 */
export * from "./controller-records.js";
export * from "./job-records.js";
export * from "./keys.js";
export * from "./machine-records.js";
export * from "./rental-records.js";
