import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import test from "node:test";
import { PooledHttpClient } from "../../src/transport/client.js";

const listen = async (handler: http.RequestListener): Promise<[http.Server, string]> => {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return [server, `127.0.0.1:${(server.address() as AddressInfo).port}`];
};

/**
 * Connections to machines that were gone took up all sockets for workers, since nobody closed
 * them: calls to new machines never went out, and healthy machines were returned as unreachable.
 */
test("idle connections to many hosts stay within their bound, and calls to new hosts go out", async () => {
  const hosts = await Promise.all(
    [1, 2, 3, 4].map(() => listen((_request, response) => response.end())),
  );
  const caller = new PooledHttpClient(2, 2, 2);
  for (const [, address] of hosts) {
    const result = await caller.call(address, "GET", "/status", undefined, 5000);
    assert.equal(result.kind, "answer");
    // The connection is given back once its answer has been read to the end.
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(caller.idle <= 2, `${caller.idle} idle`);
  caller.close();
  for (const [server] of hosts) server.closeAllConnections();
  for (const [server] of hosts) server.close();
});

test("a call that never got its turn is known not to have been sent", async () => {
  const unanswered: http.ServerResponse[] = [];
  const [server, address] = await listen((_request, response) => unanswered.push(response));
  const caller = new PooledHttpClient(2, 1, 1);
  const first = caller.call(address, "GET", "/slow", undefined, 60_000);
  const second = await caller.call(address, "GET", "/late", undefined, 20);
  assert.deepEqual(second, { kind: "unsent", own: true });
  while (unanswered.length === 0) await new Promise((resolve) => setImmediate(resolve));
  unanswered[0]?.end();
  assert.equal((await first).kind, "answer");
  assert.equal(unanswered.length, 1, "the second never arrived");
  caller.close();
  server.closeAllConnections();
  server.close();
});
