/**
 * Simulates one day of the digest and returns its line.
 */
import type { WireObserver } from "../sim/wire.js";
import { type DigestDay, simulationOf } from "./days.js";
import { WireDigest } from "./wire-digest.js";
import { WireTrace } from "./wire-trace.js";

/**
 * Imports the modules that controllers load on demand. The first import takes real time, during
 * which simulated time would go on, so that the day's calls would depend on the speed of the
 * machine.
 */
const preload = async (): Promise<void> => {
  await import("../../src/coordination/load-spread/load-spread.js");
  await import("hdr-histogram-js");
};

/** An observer that forwards each call and reply to two others. */
const combineObservers = (first: WireObserver, second: WireObserver): WireObserver => ({
  sent: (at, call) => {
    first.sent(at, call);
    second.sent(at, call);
  },
  replied: (at, call, reply) => {
    first.replied(at, call, reply);
    second.replied(at, call, reply);
  },
});

/**
 * Simulates a day and returns its line: name, number of calls and hash. Writes the calls as text to
 * `traceDirectory` if one is given.
 */
export const playDay = async (
  day: DigestDay,
  traceDirectory: string | undefined,
): Promise<string> => {
  await preload();
  const simulation = simulationOf(day);
  const digest = new WireDigest();
  const trace = traceDirectory === undefined ? undefined : new WireTrace(traceDirectory, day.name);
  simulation.observer = trace === undefined ? digest : combineObservers(digest, trace);
  await simulation.day(day.jobs);
  trace?.close();
  return `${day.name} ${digest.callCount} ${digest.finish()}`;
};
