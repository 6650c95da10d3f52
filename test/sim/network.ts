/**
 * The simulated network: delays, loses and defers calls, and reports them to an observer.
 *
 * Owns the numbering of calls. Bodies are encoded and decoded as on a real network, so that both
 * sides only see what is on the wire. `Partitions` decides whether two hosts reach each other.
 */
import { decode, encode } from "../../src/protocol/cbor.js";
import type { CallResult } from "../../src/transport/client.js";
import type { SimulationContext } from "./context.js";
import type { FakeResponse } from "./fakes/message.js";
import type { WireCall, WireObserver, WireReply } from "./wire.js";

/** The range of the one-way delay of a message. */
const MIN_DELAY_MS = 0.3;
const MAX_DELAY_MS = 3;
/**
 * What happens to a lost call, by a draw from [0, 1): below the first bound only the response is
 * lost, below the second the request arrives late, otherwise it never arrives.
 */
const RESPONSE_LOST_BELOW_FRACTION = 0.4;
const REQUEST_LATE_BELOW_FRACTION = 0.8;
const MIN_LATE_ARRIVAL_DELAY_MS = 500;
const MAX_LATE_ARRIVAL_DELAY_MS = 60_000;

/** Encodes a body, if there is one. */
export const bytesOf = (value: unknown): Buffer | undefined =>
  value === undefined ? undefined : encode(value);

/** Decodes a body, if there is one. */
export const decoded = (bytes: Buffer | undefined): unknown =>
  bytes === undefined ? undefined : decode(bytes);

/** What the called host returns; undefined if it isn't reached or doesn't respond. */
export type HandlerResult = FakeResponse | undefined | Promise<FakeResponse | undefined>;

/** A call before the network has numbered it. */
export type UnnumberedCall = Omit<WireCall, "number">;

/** Carries calls between the hosts of one simulation. */
export class SimulatedNetwork {
  /** Observes all calls and replies; set it before the day. It doesn't affect the day. */
  observer: WireObserver | undefined;
  #callCount = 0;

  constructor(private readonly context: SimulationContext) {}

  /** Carries one call; its response may be lost, and its request may be executed late. */
  async carryCall(
    sent: UnnumberedCall,
    run: () => HandlerResult,
    timeoutMs: number,
  ): Promise<CallResult> {
    const { clock, scenario } = this.context;
    const call: WireCall = { ...sent, number: ++this.#callCount };
    this.observer?.sent(clock.now, call);
    await clock.sleep(clock.between(MIN_DELAY_MS, MAX_DELAY_MS));
    if (clock.random() < scenario.lost) {
      const fate = clock.random();
      // Waits at most `timeoutMs`: a process that crashes while it handles the call never returns.
      if (fate < RESPONSE_LOST_BELOW_FRACTION) await Promise.race([run(), clock.sleep(timeoutMs)]);
      else if (fate < REQUEST_LATE_BELOW_FRACTION)
        clock.after(
          clock.between(MIN_LATE_ARRIVAL_DELAY_MS, MAX_LATE_ARRIVAL_DELAY_MS),
          () => void run(),
        );
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
