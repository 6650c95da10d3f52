import type { TeamName } from "@umberfold/ids";
import type { TeamLoad } from "@umberfold/load-spread";
import {
  type Span,
  type SpanEvent,
  share,
  shareOf,
  spanValue,
  stepSpan,
  sumOfShares,
  WHOLE,
} from "@umberfold/spans";
import type { Txn } from "../../protocol/store.js";
import { keys } from "../../storage/records.js";
import type { Context } from "../context.js";
import type { LeaderRecords } from "../fleet/leader-records.js";

/** The leader's writes of spans. None of them lowers a share: that is for the shard's owner alone. */
export class SpanRecords {
  readonly counters = { changes: 0, refused: 0, dissolved: 0, repaired: 0 };

  constructor(
    private readonly ctx: Context,
    private readonly records: LeaderRecords,
  ) {}

  get writable(): boolean {
    return this.records.writable;
  }

  /** True if the span was changed so. */
  async apply(team: TeamName, span: Span, event: SpanEvent): Promise<boolean> {
    const stepped = stepSpan(span, event);
    if (!stepped.ok) {
      this.counters.refused++;
      this.ctx.log.info("span change refused", { team, event: event.kind, why: stepped.refusal });
      return false;
    }
    if (!(await this.#write(team, { kind: "put", value: spanValue(stepped.span) }))) return false;
    this.counters.changes++;
    const shard = event.kind === "plan" || event.kind === "transfer" ? undefined : event.shard;
    const entries = stepped.span.entries.map((e) => [
      e.shard,
      e.state,
      e.share,
      e.target,
      e.weight,
    ]);
    this.ctx.log.info("span changed", { team, event: event.kind, shard, entries });
    return true;
  }

  /** Takes the record of a span away that has come down to its home shard. */
  async dissolve(team: TeamName): Promise<void> {
    if (!(await this.#write(team, { kind: "delete" }))) return;
    this.counters.dissolved++;
    this.ctx.log.info("span dissolved", { team });
  }

  /**
   * Replaces a record that can't be read. Starts are conditional on the span that they count on, and
   * under this one none is made, so what is open now is all that can be: each shard keeps that much,
   * and the home shard gets the rest.
   */
  async repair(load: TeamLoad): Promise<void> {
    const used = [...load.shards.values()].filter((s) => s.shard !== load.home);
    const elsewhere = sumOfShares(used.map((s) => s.used));
    const atHome = share(Math.max(0, WHOLE - elsewhere));
    const scale = elsewhere > WHOLE ? WHOLE / elsewhere : 1;
    const span: Span = {
      home: load.home,
      entries: [
        { shard: load.home, state: "active", share: atHome, target: atHome, weight: WHOLE },
        ...used.map(({ shard, used: part }) => {
          const kept = share(Math.floor(part * scale));
          return { shard, state: "draining" as const, share: kept, target: kept, weight: share(0) };
        }),
      ],
    };
    if (!(await this.#write(load.team, { kind: "put", value: spanValue(span) }))) return;
    this.counters.repaired++;
    this.ctx.log.info("unreadable span replaced", {
      team: load.team,
      atHome: shareOf(span, load.home),
    });
  }

  #write(
    team: TeamName,
    op: { readonly kind: "put"; readonly value: unknown } | { readonly kind: "delete" },
  ): Promise<boolean> {
    const key = keys.span(team);
    const txn: Txn = {
      conditions: [{ key, rev: this.ctx.replica.rev(key) }],
      ops: [{ ...op, key }],
    };
    return this.records.write(txn);
  }
}
