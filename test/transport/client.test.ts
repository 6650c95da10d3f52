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
 * Guards against idle connections to machines that are gone using up all sockets for workers.
 * Nothing closed them: calls to new machines were never sent, and healthy machines were returned as
 * unreachable.
 */
test("idle connections to many hosts stay within their limit, and calls to new hosts are sent", async () => {
  const hosts = await Promise.all(
    [1, 2, 3, 4].map(() => listen((_request, response) => response.end())),
  );
  const client = new PooledHttpClient(2, 2, 2);
  for (const [, address] of hosts) {
    const result = await client.call(address, "GET", "/status", undefined, 5000);
    assert.equal(result.kind, "answer");
    // The connection becomes idle once its response has been read completely.
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(client.idleConnectionCount <= 2, `${client.idleConnectionCount} idle`);
  client.close();
  for (const [server] of hosts) server.closeAllConnections();
  for (const [server] of hosts) server.close();
});

test("a call that times out in the queue ends as unsent, with a local cause", async () => {
  const unanswered: http.ServerResponse[] = [];
  const [server, address] = await listen((_request, response) => unanswered.push(response));
  const client = new PooledHttpClient(2, 1, 1);
  const first = client.call(address, "GET", "/slow", undefined, 60_000);
  const second = await client.call(address, "GET", "/late", undefined, 20);
  assert.deepEqual(second, { kind: "unsent", isLocal: true });
  while (unanswered.length === 0) await new Promise((resolve) => setImmediate(resolve));
  unanswered[0]?.end();
  assert.equal((await first).kind, "answer");
  assert.equal(unanswered.length, 1, "the second call must not arrive");
  client.close();
  server.closeAllConnections();
  server.close();
});
