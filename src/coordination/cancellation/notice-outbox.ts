/**
 * Sends cancellation notices to the other controllers, in batches.
 *
 * Holds one queue for each other controller. Invariants: at most one message is in flight to a
 * controller; notices queued in the meantime go into the next message; each caller gets a result
 * within a bounded time. Nothing is retried here: a notice that was not acknowledged is left to the
 * caller.
 */
import type { ControllerLabel, JobId } from "@umberfold/ids";
import {
  type CancellationNotice,
  EMPTY_PEER_MESSAGE,
  encodePeerMessage,
} from "../../protocol/peer.js";
import type { HttpClient } from "../../transport/client.js";
import { type ControllerContext, peerAddress } from "../context.js";

const NOTICE_CALL_TIMEOUT_MS = 600;
/** Notices beyond this number go into the next message. */
const MAX_NOTICES_PER_MESSAGE = 500;

/** A notice to be sent, and the callbacks that tell its senders whether it was acknowledged. */
interface QueuedNotice {
  readonly notice: CancellationNotice;
  readonly resolvers: ((acknowledged: boolean) => void)[];
}

/** The notices queued for one controller; `sending` while a message to it is in flight. */
interface PeerQueue {
  readonly pending: Map<JobId, QueuedNotice>;
  state: "idle" | "sending";
}

/** Sends cancellation notices to other controllers, many in one message. */
export class NoticeOutbox {
  readonly #queues = new Map<ControllerLabel, PeerQueue>();
  /** How many notices were sent since the process started, acknowledged or not. */
  readonly counters = { notices: 0 };

  /** @param peers HTTP client for the other controllers */
  constructor(
    private readonly ctx: ControllerContext,
    private readonly peers: HttpClient,
  ) {}

  /**
   * Sends a notice to another controller. Resolves to true once that controller has acknowledged
   * it, and to false on an error, on a timeout, or if its address is unknown.
   */
  send(to: ControllerLabel, notice: CancellationNotice): Promise<boolean> {
    let queue = this.#queues.get(to);
    if (queue === undefined) {
      queue = { pending: new Map(), state: "idle" };
      this.#queues.set(to, queue);
    }
    const queued = queue.pending.get(notice.job) ?? { notice, resolvers: [] };
    queue.pending.set(notice.job, queued);
    const acknowledged = new Promise<boolean>((resolve) => queued.resolvers.push(resolve));
    // Not awaited: it resolves the promise returned here, and it never rejects.
    void this.#sendQueued(to, queue);
    return acknowledged;
  }

  async #sendQueued(to: ControllerLabel, queue: PeerQueue): Promise<void> {
    if (queue.state === "sending") return;
    queue.state = "sending";
    const address = peerAddress(this.ctx.settings, to);
    while (queue.pending.size > 0) {
      const batch = [...queue.pending.values()].slice(0, MAX_NOTICES_PER_MESSAGE);
      for (const { notice } of batch) queue.pending.delete(notice.job);
      const payload = encodePeerMessage({
        ...EMPTY_PEER_MESSAGE,
        from: this.ctx.self.label,
        cancelled: batch.map(({ notice }) => notice),
      });
      this.counters.notices += batch.length;
      const reply =
        address === undefined
          ? undefined
          : await this.peers.callRaw(address, "POST", "/peer", payload, NOTICE_CALL_TIMEOUT_MS);
      const acknowledged = reply?.kind === "answer" && reply.status === 204;
      for (const { resolvers } of batch) for (const resolve of resolvers) resolve(acknowledged);
    }
    queue.state = "idle";
  }
}
