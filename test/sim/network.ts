/**
 * The simulated network: delays, losses and late arrivals of calls, and what an observer is told.
 *
 * Owns the numbering of calls. A body crosses it as bytes, so that both sides see what the wire
 * would give them. Whether two hosts reach one another at all is a matter of `Partitions`.
 */
import { decode, encode } from "../../src/protocol/cbor.js";
import type { CallResult } from "../../src/transport/client.js";
import type { SimulationContext } from "./context.js";
import type { FakeResponse } from "./fakes/message.js";
import type { WireCall, WireObserver, WireReply } from "./wire.js";

/** How long a message is on its way, at least and at most. */
const MIN_DELAY_MS = 0.3;
const MAX_DELAY_MS = 3;
/** Of lost calls, so many lose their answer alone; up to the second share they arrive late. */
const ANSWER_LOST_SHARE = 0.4;
const ARRIVES_LATE_SHARE = 0.8;
const MIN_LATE_MS = 500;
const MAX_LATE_MS = 60_000;

/** The bytes of a body, if there is one. */
export const bytesOf = (value: unknown): Buffer | undefined =>
  value === undefined ? undefined : encode(value);

/** The body that bytes stand for, if there are any. */
export const decoded = (bytes: Buffer | undefined): unknown =>
  bytes === undefined ? undefined : decode(bytes);

/** What the called side makes of a call; undefined if it isn't reached or doesn't answer. */
export type Answer = FakeResponse | undefined | Promise<FakeResponse | undefined>;

/** A call as its caller sends it, before it has its number. */
export type UnnumberedCall = Omit<WireCall, "number">;

/** Carries calls between all hosts of a simulation. */
export class SimulatedNetwork {
  /** Is told what crosses the wire; to be set before the day, which goes on as it does without. */
  observer: WireObserver | undefined;
  #callCount = 0;

  constructor(private readonly context: SimulationContext) {}

  /** A call over the network: its answer may be lost, and what it asked may be done late. */
  async call(sent: UnnumberedCall, run: () => Answer, timeoutMs: number): Promise<CallResult> {
    const { clock, scenario } = this.context;
    const call: WireCall = { ...sent, number: ++this.#callCount };
    this.observer?.sent(clock.now, call);
    await clock.sleep(clock.between(MIN_DELAY_MS, MAX_DELAY_MS));
    if (clock.random() < scenario.lost) {
      const fate = clock.random();
      // A process that crashes while it serves the call never returns from it.
      if (fate < ANSWER_LOST_SHARE) await Promise.race([run(), clock.sleep(timeoutMs)]);
      else if (fate < ARRIVES_LATE_SHARE)
        clock.after(clock.between(MIN_LATE_MS, MAX_LATE_MS), () => void run());
      await clock.sleep(timeoutMs);
      return this.#lost(call);
    }
    const answer = await Promise.race([run(), clock.sleep(timeoutMs).then(() => undefined)]);
    await clock.sleep(clock.between(MIN_DELAY_MS, MAX_DELAY_MS));
    if (answer === undefined) return this.#lost(call);
    const { status } = answer;
    const body = bytesOf(answer.body);
    this.#replied(call, { kind: "answer", status, body });
    return { kind: "answer", status, body: decoded(body) };
  }

  #replied(call: WireCall, reply: WireReply): void {
    this.observer?.replied(this.context.clock.now, call, reply);
  }

  #lost(call: WireCall): CallResult {
    this.#replied(call, { kind: "lost" });
    return { kind: "lost" };
  }
}
