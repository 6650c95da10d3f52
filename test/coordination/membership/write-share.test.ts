/** The other controllers' write rate that is averaged from the writes seen by the watch. */
import assert from "node:assert/strict";
import test from "node:test";
import { monotonicMs } from "@umberfold/ids";
import { WriteShare } from "../../../src/coordination/membership/write-share.js";
import type { StateStore } from "../../../src/storage/state-store.js";
import { setClock } from "../../../src/transport/clock.js";
import { stopClock } from "../../fixtures/controller-setup.js";

interface ShareUpdate {
  readonly memberCount: number;
  readonly peerWriteRate: number;
}

const makeShare = (): { readonly share: WriteShare; readonly updates: ShareUpdate[] } => {
  setClock({ monotonicNowMs: () => 0, wallClockNowMs: () => 0, sleep: async () => undefined });
  const updates: ShareUpdate[] = [];
  const updateShares = (memberCount: number, rate: number): void => {
    updates.push({ memberCount, peerWriteRate: Math.round(rate * 100) / 100 });
  };
  return { share: new WriteShare({ updateShares } as unknown as StateStore), updates };
};

test("the peer write rate approaches the rate of writes seen by the watch within seconds", (t) => {
  t.after(stopClock);
  const { share, updates } = makeShare();
  for (let second = 1; second <= 8; second++) {
    share.recordPeerWrites(60);
    share.recordPeerWrites(40);
    share.update(3, monotonicMs(second * 1000));
  }
  // 100 writes per second, averaged exponentially with a time constant of 2 s.
  const expected = updates.map((_, i) => Math.round(1e4 * (1 - Math.exp(-(i + 1) / 2))) / 100);
  assert.deepEqual(
    updates.map((update) => update.peerWriteRate),
    expected,
  );
  assert.equal(updates[0]?.memberCount, 3);
});

test("an update without elapsed time has no effect and keeps the counted writes", (t) => {
  t.after(stopClock);
  const { share, updates } = makeShare();
  share.recordPeerWrites(100);
  share.update(2, monotonicMs(0));
  assert.deepEqual(updates, []);
  share.update(2, monotonicMs(1000));
  assert.deepEqual(updates, [{ memberCount: 2, peerWriteRate: 39.35 }]);
});
