import assert from "node:assert/strict";
import net, { type AddressInfo } from "node:net";
import test from "node:test";
import * as Effect from "effect/Effect";
import { defaultOperators } from "../../src/config/operators.js";
import { defaultPackages } from "../../src/config/packages.js";
import { makeLogger } from "../../src/observability/log.js";
import { ListenError, runController } from "../../src/service/run-controller.js";
import { settingsOf } from "../sim/settings.js";

test("a controller whose address is in use fails with it and Node's error code", async () => {
  const taken = net.createServer();
  await new Promise<void>((resolve) => taken.listen(0, "127.0.0.1", resolve));
  const frontAddress = `127.0.0.1:${(taken.address() as AddressInfo).port}`;
  const settings = { ...settingsOf(0, ["controller-0"], 40, false), frontAddress };
  const log = makeLogger("error", {}, () => undefined);
  const running = runController(settings, defaultOperators(), defaultPackages(), log);
  try {
    await assert.rejects(Effect.runPromise(Effect.scoped(running)), (error) => {
      assert.ok(error instanceof ListenError);
      assert.equal(error.address, frontAddress);
      assert.equal(error.code, "EADDRINUSE");
      assert.match(error.message, /EADDRINUSE/);
      return true;
    });
  } finally {
    taken.close();
  }
});
