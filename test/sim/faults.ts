/**
 * What a simulated day brings: its faults, its size, and the safeguard that a test switches off.
 * All are plain data; `fault-injection/` and the parts of the simulation act on them.
 */
import type { LoadSpreadSettings } from "@umberfold/load-spread";

/** Faults that a simulated day may bring, alone or together. */
export interface FaultScenario {
  /** Share of calls whose answer is lost; the call itself may come late, or never. */
  readonly lost: number;
  /** Single controllers crash now and then. */
  readonly crashes: boolean;
  /** The state store is out twice and the cloud once. */
  readonly outages: boolean;
  /** Machines die, or hang for a while. */
  readonly deaths: boolean;
  /** Machines whose heartbeats arrive while nothing reaches them, for less and for more than a lease. */
  readonly oneWayMachines?: boolean;
  /** Heartbeats come again, seconds to several leases later, whoever is owner or leader by then. */
  readonly lateHeartbeatCopies?: boolean;
  /** One controller is cut from the state store and the others, but not from its workers. */
  readonly controllerCut?: boolean;
  /** The state store refuses one controller, while it serves the others. */
  readonly controllerRefused?: boolean;
  /** One controller can't reach its workers, nor they it. */
  readonly workersUnreachable?: boolean;
  /** Controllers refuse one another's connections. */
  readonly peersRefuse?: boolean;
  /** Controllers crash just after leadership or a shard changed hands, and are back at once. */
  readonly crashesAfterElections?: boolean;
  /** More than half of the machines vanish within seconds. */
  readonly spotWave?: boolean;
  /** Process pauses, shorter and longer than a lease, of one or two controllers at a time. */
  readonly processPauses?: boolean;
  /** All controllers are cut from the state store, the cloud, users and most workers for two leases. */
  readonly allControllersCut?: boolean;
  /** All controllers crash together twice, once during an outage of the state store. */
  readonly restarts?: boolean;
  /** A third of the machines hang for longer than their lease, and go on. */
  readonly hangs?: boolean;
  /** Requests of a controller that were carried out already come again, seconds to minutes later. */
  readonly repeatedRequests?: boolean;
  /** The state store refuses the leader alone, then everybody. */
  readonly storeOutageAfterRefusal?: StoreOutageAfterRefusal;
  /** Transactions get no answer and are carried out 2 to 12 s later, after newer ones. */
  readonly lateWrites?: boolean;
  /** Machines whose heartbeats reach no controller, while calls reach them, for up to two leases. */
  readonly mutedMachines?: boolean;
  /** Each task fails once, or those of some jobs fail whenever they are started. */
  readonly failures?: "first" | "always";
  /** Jobs are bound to one zone or spread over zones, as `mill` and `apart` say. */
  readonly zoneBound?: boolean;
  /** Images take up to half a minute to come. */
  readonly slowLinks?: boolean;
  /** Muted machines that stay so, with tasks that run for longer than a lease. */
  readonly mutedForGood?: boolean;
  /** Users cancel several running jobs at once, and some of their machines hang. */
  readonly cancelAtOnce?: boolean;
  /** Jobs are cancelled, asked about and submitted again at the moment of their last task's end. */
  readonly cancelAtEnd?: boolean;
  /** Users repeat submissions, cancel what is done, and submit what can't run or lacks a field. */
  readonly oddRequests?: boolean;
  /** The leader crashes ten times in two minutes and is back within a second, in an outage too. */
  readonly leaderCrashes?: boolean;
  /** All controllers are away for longer than a lease. */
  readonly allControllersAway?: boolean;
  /** A zone's workers and one controller are cut off from the rest for longer than a lease. */
  readonly zoneCut?: boolean;
  /** For a minute users ask this many times as often, and the state store limits its requests. */
  readonly questionFlood?: number;
  /** A team without a guarantee sends one-task jobs in masses and one huge array. */
  readonly floodTeam?: boolean;
  /** Load spreading is on, with these settings beside the defaults. */
  readonly loadSpread?: Partial<LoadSpreadSettings>;
  /** That share of the writes of spans gets no answer: carried out at once or not, and again late. */
  readonly lateSpanWrites?: number;
  /** Machines come up minutes late, or never. */
  readonly lateBoots?: boolean;
}

/** A day without faults, to be spread with those that a test is for. */
export const NO_FAULTS: FaultScenario = {
  lost: 0,
  crashes: false,
  outages: false,
  deaths: false,
};

/**
 * The state store refuses the leader alone; the other controllers confirm cancellations to users;
 * then it is out for all, for longer than `cancel_s`.
 */
export interface StoreOutageAfterRefusal {
  /** The refused leader is cut from the other controllers as well. */
  readonly peersCut?: boolean;
  /** The others crash just after they confirmed, and are back seconds later, in the outage. */
  readonly confirmersCrash?: boolean;
  /** The refused leader crashes inside the outage, and is back within a second. */
  readonly oldLeaderCrashes?: boolean;
  /** What happens to some machines with tasks of cancelled jobs, for longer than `cancel_s`. */
  readonly machineFault?: "hang" | "deaf" | "mute";
  /** The cloud is out for the first part of the outage. */
  readonly cloudOutage?: boolean;
  /** Which request gives the user the confirmation; the answer to the cancellation is then ignored. */
  readonly confirmedBy?: "cancel" | "question" | "repeat";
}

/** The size of a simulated cluster and of its jobs. */
export interface SimulationScale {
  /** Controllers, and as many shards. */
  readonly controllers: number;
  /** Machines that the cloud has. */
  readonly machines: number;
  /** The limit of each team, in processors. */
  readonly quotaCpus: number;
  /** The most tasks of one of the day's own jobs. */
  readonly maxTasks: number;
}

/** A safeguard that a test switches off, to show that the checks notice. */
export type DisabledSafeguard =
  /** The state store applies transactions whatever their conditions. */
  | "conditions"
  /** Workers execute commands whatever their fencing token and epoch. */
  | "fencing_tokens"
  /** The cloud says that machines are gone, and leaves them running. */
  | "cloud_returns"
  /** Final records are never found. */
  | "final_records"
  /** No controller runs. */
  | "no_service"
  /** Cancellations are confirmed and not carried out. */
  | "cancellations"
  /** Cancellation notices are acknowledged and not heeded. */
  | "cancellation_notices"
  /** Forced returns are refused: machines are returned by the leader alone. */
  | "forced_returns"
  /** Comparisons are refused, so that each question would need a read of its own. */
  | "comparisons"
  /** Machines that never come up are not returned. */
  | "late_returns";
