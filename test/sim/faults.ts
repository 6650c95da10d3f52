/**
 * The configuration of a simulated day: its faults, its size and a disabled safeguard. All are
 * plain data; `fault-injection/` and the components of the simulation act on them.
 */
import type { LoadSpreadSettings } from "@umberfold/load-spread";

/** The faults of a simulated day, which can be combined. */
export interface FaultScenario {
  /** Fraction of calls without a response; the request may arrive, arrive late or be lost. */
  readonly lost: number;
  /** Random controllers crash and restart. */
  readonly crashes: boolean;
  /** The state store has two outages and the cloud one. */
  readonly outages: boolean;
  /** Machines fail, or hang for a while. */
  readonly deaths: boolean;
  /** Machines become deaf (heartbeats arrive, nothing reaches them) for up to two leases. */
  readonly oneWayMachines?: boolean;
  /** Heartbeats are delivered again to any controller, seconds to several leases later. */
  readonly lateHeartbeatCopies?: boolean;
  /** One controller is cut off from the state store and its peers, but not from its workers. */
  readonly controllerCut?: boolean;
  /** The state store refuses the requests of one controller and serves the others. */
  readonly controllerRefused?: boolean;
  /** One controller and all workers can't reach each other. */
  readonly workersUnreachable?: boolean;
  /** Controllers refuse connections from each other. */
  readonly peersRefuse?: boolean;
  /** Controllers crash just after the leader or a shard's owner changed, and restart at once. */
  readonly crashesAfterElections?: boolean;
  /** The cloud reclaims more than half of the machines within seconds. */
  readonly spotWave?: boolean;
  /** One or two controller processes at a time pause, for less or more than a lease. */
  readonly processPauses?: boolean;
  /**
   * Users send a controller requests about jobs just before its process pauses, and cancel the jobs
   * at other controllers while it is paused.
   */
  readonly requestsDuringPauses?: boolean;
  /** All controllers lose the state store, cloud, users and most workers for over two leases. */
  readonly allControllersCut?: boolean;
  /** All controllers crash together twice, once during an outage of the state store. */
  readonly restarts?: boolean;
  /** A third of the machines hang for longer than their lease and then recover. */
  readonly hangs?: boolean;
  /** Requests of a controller are delivered again, seconds to minutes after their execution. */
  readonly repeatedRequests?: boolean;
  /** The state store refuses only the leader, then has an outage for all. */
  readonly storeOutageAfterRefusal?: StoreOutageAfterRefusal;
  /** Some transactions get no response and are executed 2 to 12 s later, after newer ones. */
  readonly lateWrites?: boolean;
  /** Machines become muted (no heartbeat arrives, calls reach them) for up to two leases. */
  readonly mutedMachines?: boolean;
  /** Each task fails on its first start, or every start of some jobs' tasks fails. */
  readonly failures?: "first" | "always";
  /** Jobs require one zone (`oneZone`), a named zone (`mill`) or several zones (`apart`). */
  readonly zoneBound?: boolean;
  /** Pulling an image takes up to half a minute. */
  readonly slowLinks?: boolean;
  /** Machines become muted for the rest of the day; tasks run for longer than a lease. */
  readonly mutedForGood?: boolean;
  /** Users cancel several running jobs at once, and some of their machines hang. */
  readonly cancelAtOnce?: boolean;
  /** Jobs are cancelled, queried and submitted again just as their last task ends. */
  readonly cancelAtEnd?: boolean;
  /** Users repeat submissions, cancel done jobs, and submit infeasible or incomplete jobs. */
  readonly oddRequests?: boolean;
  /** The leader crashes ten times in two minutes, also in an outage, and restarts within 1 s. */
  readonly leaderCrashes?: boolean;
  /** All controllers are down for longer than a lease. */
  readonly allControllersAway?: boolean;
  /** A zone's workers and one controller are cut off from the rest for longer than a lease. */
  readonly zoneCut?: boolean;
  /**
   * For a minute users send this many times as many status requests; the state store limits its
   * request rate over the whole day.
   */
  readonly questionFlood?: number;
  /** A team without a guarantee submits one huge array job and many one-task jobs. */
  readonly floodTeam?: boolean;
  /** Enables load spreading with these settings, which override the defaults. */
  readonly loadSpread?: Partial<LoadSpreadSettings>;
  /** Fraction of span writes without a response: executed late, and half of them also at once. */
  readonly lateSpanWrites?: number;
  /** Some machines boot minutes late, or never. */
  readonly lateBoots?: boolean;
}

/** A day without faults; tests override the faults that they cover. */
export const NO_FAULTS: FaultScenario = {
  lost: 0,
  crashes: false,
  outages: false,
  deaths: false,
};

/**
 * The state store refuses only the leader; the other controllers confirm cancellations to users;
 * then the state store has an outage for all, which lasts longer than `cancel_s`.
 */
export interface StoreOutageAfterRefusal {
  /** The refused leader is also cut off from the other controllers. */
  readonly peersCut?: boolean;
  /** The other controllers crash after confirming and restart seconds later, during the outage. */
  readonly confirmersCrash?: boolean;
  /** The refused leader crashes during the outage and restarts within a second. */
  readonly oldLeaderCrashes?: boolean;
  /** Fault of some machines with tasks of cancelled jobs; it lasts longer than `cancel_s`. */
  readonly machineFault?: "hang" | "deaf" | "mute";
  /** The cloud has an outage during the first part of that of the state store. */
  readonly cloudOutage?: boolean;
  /**
   * Which request's response confirms the cancellation to the user: the cancellation itself
   * (default), a status request or a repeated submission. For the latter two, the response to the
   * cancellation is ignored.
   */
  readonly confirmedBy?: "cancel" | "question" | "repeat";
}

/** The size of a simulated cluster and of its jobs. */
export interface SimulationScale {
  /** Number of controllers, and of shards. */
  readonly controllers: number;
  /** Number of machines that the cloud can rent out. */
  readonly machines: number;
  /** Quota of each team, in processors. */
  readonly quotaCpus: number;
  /** Largest number of tasks of a regular job of the day. */
  readonly maxTasks: number;
}

/** A safeguard that a test disables to show that the checks detect its absence. */
export type DisabledSafeguard =
  /** The state store applies transactions even if their conditions fail. */
  | "conditions"
  /** Workers execute commands with any fencing token and epoch. */
  | "fencing_tokens"
  /** The cloud confirms returns but leaves the machines running. */
  | "cloud_returns"
  /** Reads of final records find nothing. */
  | "final_records"
  /** No controller runs. */
  | "no_service"
  /** Cancellations are confirmed but not executed. */
  | "cancellations"
  /** Cancellation notices are acknowledged but ignored. */
  | "cancellation_notices"
  /** Forced returns are refused, so that only the leader's regular returns succeed. */
  | "forced_returns"
  /** Comparisons are refused, so that each status request would need its own read. */
  | "comparisons"
  /** All returns of machines are refused, so that those that never boot stay rented. */
  | "late_returns";
