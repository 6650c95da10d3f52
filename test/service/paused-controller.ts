/**
 * One controller's user API that can be paused at any moment, with the state store that it shares
 * with another controller. The other controller is only a writer: it accepts, cancels and finishes
 * jobs in the store and tells their users at once.
 */
import { jobId, revision, wallClockMs } from "@umberfold/ids";
import type { ControllerContext } from "../../src/coordination/context.js";
import type { Membership } from "../../src/coordination/membership/membership.js";
import { Metrics } from "../../src/observability/metrics.js";
import { encode } from "../../src/protocol/cbor.js";
import { parseMachineTypes } from "../../src/protocol/cloud.js";
import { type JobSpec, parseSubmission } from "../../src/protocol/jobs.js";
import { UserApi } from "../../src/service/user-api.js";
import {
  encodeAcceptedJob,
  encodeFinalJob,
  keys,
  parseAcceptedJob,
} from "../../src/storage/records.js";
import { Replica } from "../../src/storage/replica.js";
import { StateStore } from "../../src/storage/state-store.js";
import type { CallResult, HttpClient } from "../../src/transport/client.js";
import { setClock } from "../../src/transport/clock.js";
import type { HttpResponse } from "../../src/transport/server.js";
import { SimulatedClock } from "../sim/clock.js";
import type { Body } from "../sim/fakes/message.js";
import { FakeStateStore } from "../sim/fakes/state-store.js";
import { smallJob } from "../sim/job-spec.js";
import { ProcessPauses } from "../sim/process-pauses.js";
import { MACHINE_TYPES, settingsOf, TEAMS } from "../sim/settings.js";

/** The job that all requests are about. */
export const JOB = "wk-000001";
const JOB_ID = jobId(JOB);
const LIVE_KEY = keys.live(JOB_ID);
/** The submission that its user repeats. */
export const SUBMISSION = smallJob(JOB, TEAMS[0] as string);

/** How long a message takes to reach the state store, and its answer to come back. */
const ONE_WAY_DELAY_MS = 5;
/** How long the job's owner takes to confirm a cancellation. */
const CONFIRMATION_DELAY_MS = 10;
const PROCESS = 0;

/** What the other controller tells the user about the job. */
export type Told = "accepted" | "cancelled" | "done";

const parsedSubmission = (): JobSpec => {
  const parsed = parseSubmission(SUBMISSION);
  if (!parsed.ok) throw new Error(parsed.reason);
  return parsed.value;
};

/** A controller under test. */
export class PausedController {
  readonly clock = new SimulatedClock(1);
  readonly store = new FakeStateStore(this.clock);
  readonly replica = new Replica();
  readonly users: UserApi;
  /** Added to the delay of each answer of the state store. */
  answerDelayMs = 0;
  readonly #pauses = new ProcessPauses();

  constructor() {
    setClock({
      monotonicNowMs: () => this.clock.now,
      wallClockNowMs: () => 1_700_000_000_000 + this.clock.now,
      sleep: async (ms) => {
        await this.clock.sleep(ms);
        await this.#pauses.waitUntilRunning(PROCESS);
      },
    });
    const settings = settingsOf(0, ["n-0"], 100, false);
    this.replica.machineTypes = {
      value: parseMachineTypes({ frames: MACHINE_TYPES }) ?? [],
      rev: revision(1),
    };
    const ctx = {
      settings,
      teams: new Map(settings.teams.map((team) => [team.name, team])),
      store: new StateStore("s", { rps: 1000, writeRps: 1000 }, this.#client(), 1),
      replica: this.replica,
      isReplicaSynced: true,
      metrics: new Metrics(),
    } as unknown as ControllerContext;
    const confirm = async (): Promise<boolean> => {
      await this.clock.sleep(CONFIRMATION_DELAY_MS);
      await this.#pauses.waitUntilRunning(PROCESS);
      return true;
    };
    this.users = new UserApi(ctx, {} as Membership, () => undefined, confirm);
  }

  #client(): HttpClient {
    const call = async (
      _address: string,
      method: string,
      path: string,
      body: unknown,
    ): Promise<CallResult> => {
      await this.clock.sleep(ONE_WAY_DELAY_MS);
      const { status, body: answer } = await this.store.handle(method, path, body as Body);
      await this.clock.sleep(ONE_WAY_DELAY_MS + this.answerDelayMs);
      await this.#pauses.waitUntilRunning(PROCESS);
      return { kind: "answer", status, body: answer };
    };
    return { call, callRaw: call, close: () => undefined };
  }

  /** Pauses the process from a time on; the store and the other controller go on. */
  pauseAt(at: number, ms: number): void {
    this.clock.after(at - this.clock.now, () => {
      this.#pauses.pause(PROCESS);
      this.clock.after(ms, () => this.#pauses.resume(PROCESS));
    });
  }

  /** The other controller accepts the job, unless it is accepted; returns what the user is told. */
  accept(): Told {
    if (!this.store.keys.has(LIVE_KEY))
      this.#write([{ write: LIVE_KEY, v: this.#liveRecord(null) }]);
    return "accepted";
  }

  /** The other controller cancels the accepted job; returns what the user is told. */
  cancel(): Told {
    this.#write([{ write: LIVE_KEY, v: this.#liveRecord(this.clock.now) }]);
    return "cancelled";
  }

  /** The job's owner finishes the accepted job; returns what the user is told. */
  finish(): Told {
    const record = parseAcceptedJob(JOB_ID, this.store.keys.get(LIVE_KEY)?.v);
    const phase = record?.cancelledAt === null ? "done" : "cancelled";
    this.#write([
      { drop: LIVE_KEY },
      { write: keys.final(JOB_ID), v: encodeFinalJob({ phase, done: 1 }) },
    ]);
    return phase;
  }

  /** This controller's watch shows the job's record as it is now in the store. */
  deliverWatch(): void {
    const stored = this.store.keys.get(LIVE_KEY);
    this.replica.apply(
      stored === undefined
        ? { kind: "delete", key: LIVE_KEY, rev: revision(this.store.revision) }
        : { kind: "put", key: LIVE_KEY, value: stored.v, rev: revision(stored.mark) },
    );
    this.replica.advanceTo(revision(this.store.revision));
  }

  /** Sends a submission to this controller. */
  submit(submission: Body): Promise<HttpResponse> {
    return this.users.submit(Buffer.from(encode(submission)));
  }

  #liveRecord(cancelledAt: number | null): unknown {
    return encodeAcceptedJob({
      spec: parsedSubmission(),
      acceptedAt: wallClockMs(0),
      cancelledAt: cancelledAt === null ? null : wallClockMs(cancelledAt),
      shard: null,
    });
  }

  #write(apply: readonly Body[]): void {
    void this.store.handle("POST", "/txn", { if: [], apply });
  }
}
