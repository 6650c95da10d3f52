/**
 * Plays one day of the digest and gives its line.
 */
import type { WireObserver } from "../sim/wire.js";
import { type DigestDay, simulationOf } from "./days.js";
import { WireDigest } from "./wire-digest.js";
import { WireTrace } from "./wire-trace.js";

/** What is loaded on demand takes real time at its first use, which a simulated day must not see. */
const preload = async (): Promise<void> => {
  await import("../../src/coordination/load-spread/load-spread.js");
  await import("hdr-histogram-js");
};

/** Tells both of what crosses the wire. */
const both = (one: WireObserver, other: WireObserver): WireObserver => ({
  sent: (at, call) => {
    one.sent(at, call);
    other.sent(at, call);
  },
  replied: (at, call, reply) => {
    one.replied(at, call, reply);
    other.replied(at, call, reply);
  },
});

/** Plays a day, writes its calls if a directory for them is given, and returns its line. */
export const playDay = async (day: DigestDay, traceTo: string | undefined): Promise<string> => {
  await preload();
  const simulation = simulationOf(day);
  const digest = new WireDigest();
  const trace = traceTo === undefined ? undefined : new WireTrace(traceTo, day.name);
  simulation.observer = trace === undefined ? digest : both(digest, trace);
  await simulation.day(day.jobs);
  trace?.end();
  return `${day.name} ${digest.calls} ${digest.end()}`;
};
