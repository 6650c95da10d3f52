/** How the others' writes, as the watch shows them, become this controller's share of the limit. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { WriteShare } from "../../../src/coordination/membership/write-share.js";
import type { StateStore } from "../../../src/storage/state-store.js";
import { setClock } from "../../../src/transport/clock.js";
import { stopClock } from "../../fixtures/controller-setup.js";

interface ShareUpdate {
  readonly members: number;
  readonly foreignRate: number;
}

const makeShare = (): { readonly share: WriteShare; readonly updates: ShareUpdate[] } => {
  setClock({ steady: () => 0, wall: () => 0, sleep: async () => undefined });
  const updates: ShareUpdate[] = [];
  const updateShares = (members: number, rate: number): void => {
    updates.push({ members, foreignRate: Math.round(rate * 100) / 100 });
  };
  return { share: new WriteShare({ updateShares } as unknown as StateStore), updates };
};

test("the others' write rate follows what the watch shows within a few seconds", (t) => {
  t.after(stopClock);
  const { share, updates } = makeShare();
  for (let second = 1; second <= 8; second++) {
    share.recordPeerWrites(60);
    share.recordPeerWrites(40);
    share.update(3, monotonicMs(second * 1000));
  }
  // 100 writes a second, averaged with a time constant of two seconds.
  const expected = updates.map((_, i) => Math.round(1e4 * (1 - Math.exp(-(i + 1) / 2))) / 100);
  assert.deepEqual(
    updates.map((update) => update.foreignRate),
    expected,
  );
  assert.equal(updates[0]?.members, 3);
});

test("an update at the same moment changes nothing and loses no count", (t) => {
  t.after(stopClock);
  const { share, updates } = makeShare();
  share.recordPeerWrites(100);
  share.update(2, monotonicMs(0));
  assert.deepEqual(updates, []);
  share.update(2, monotonicMs(1000));
  assert.deepEqual(updates, [{ members: 2, foreignRate: 39.35 }]);
});
