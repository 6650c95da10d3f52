/** A default job submission for tests that only set a few of its fields. */
import type { Body } from "./fakes/message.js";

/** A submission of one small task, in wire field names; `overrides` replaces fields. */
export const smallJob = (uid: string, crew: string, overrides: Body = {}): Body => ({
  uid,
  weave: "c",
  crew,
  pattern: "sweep",
  rank: "normal",
  threads: 1,
  cpus: 1,
  gpus: 0,
  ramGb: 1,
  bolt: "img-b",
  imageGb: 0.5,
  oneZone: false,
  apart: false,
  remnant: true,
  expectS: 10,
  knotS: 0,
  spoolS: 0,
  ...overrides,
});
