/**
 * Cancellation notices on their way to the other controllers.
 *
 * Owns one queue for each other controller. What must hold: at most one message is in flight to a
 * controller, all that gathers meanwhile goes into the next, and each sender gets an answer in a
 * bounded time. Nothing is repeated here: a notice without an acknowledgment is the caller's affair.
 */
import type { ControllerLabel, JobId } from "@umberfold/ids";
import {
  type CancellationNotice,
  EMPTY_PEER_MESSAGE,
  encodePeerMessage,
} from "../../protocol/peer.js";
import type { HttpClient } from "../../transport/client.js";
import { type ControllerContext, peerAddress } from "../context.js";

const NOTICE_TIMEOUT_MS = 600;
/** Notices in one message; more go into the next. */
const MAX_NOTICES_PER_MESSAGE = 500;

/** A notice that waits to be sent, and who waits for its acknowledgment. */
interface QueuedNotice {
  readonly notice: CancellationNotice;
  readonly onAnswer: ((acknowledged: boolean) => void)[];
}

/** What waits for one controller; a second message is not begun while one is in flight. */
interface PeerQueue {
  readonly waiting: Map<JobId, QueuedNotice>;
  state: "idle" | "sending";
}

/** Sends cancellation notices to other controllers, many in a message. */
export class NoticeOutbox {
  readonly #queues = new Map<ControllerLabel, PeerQueue>();
  /** Notices sent since the start, acknowledged or not. */
  readonly counters = { notices: 0 };

  /** @param peers connections to the other controllers */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly peers: HttpClient,
  ) {}

  /** True once the other controller has acknowledged it; false if it didn't in a short time. */
  send(to: ControllerLabel, notice: CancellationNotice): Promise<boolean> {
    let queue = this.#queues.get(to);
    if (queue === undefined) {
      queue = { waiting: new Map(), state: "idle" };
      this.#queues.set(to, queue);
    }
    const queued = queue.waiting.get(notice.job) ?? { notice, onAnswer: [] };
    queue.waiting.set(notice.job, queued);
    const acknowledged = new Promise<boolean>((resolve) => queued.onAnswer.push(resolve));
    // Not awaited: its result reaches the promise returned here, and it never fails.
    void this.#sendAll(to, queue);
    return acknowledged;
  }

  async #sendAll(to: ControllerLabel, queue: PeerQueue): Promise<void> {
    if (queue.state === "sending") return;
    queue.state = "sending";
    const address = peerAddress(this.ctx.settings, to);
    while (queue.waiting.size > 0) {
      const batch = [...queue.waiting.values()].slice(0, MAX_NOTICES_PER_MESSAGE);
      for (const { notice } of batch) queue.waiting.delete(notice.job);
      const payload = encodePeerMessage({
        ...EMPTY_PEER_MESSAGE,
        from: this.ctx.self.label,
        cancelled: batch.map(({ notice }) => notice),
      });
      this.counters.notices += batch.length;
      const reply =
        address === undefined
          ? undefined
          : await this.peers.callRaw(address, "POST", "/peer", payload, NOTICE_TIMEOUT_MS);
      const acknowledged = reply?.kind === "answer" && reply.status === 204;
      for (const { onAnswer } of batch) for (const answer of onAnswer) answer(acknowledged);
    }
    queue.state = "idle";
  }
}
