import assert from "node:assert/strict";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import test from "node:test";
import { PooledHttpClient } from "../../src/transport/client.js";
import { type HttpRequest, MAX_BODY_BYTES, makeServer } from "../../src/transport/server.js";

const listen = async (handler: http.RequestListener): Promise<[http.Server, string]> => {
  const server = http.createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return [server, `127.0.0.1:${(server.address() as AddressInfo).port}`];
};

/**
 * Connections to machines that were gone filled the whole part for workers, since nobody closed
 * them: calls to new machines never went out, and healthy machines were returned as deaf.
 */
test("idle connections to many hosts stay within their bound, and calls to new hosts go out", async () => {
  const hosts = await Promise.all([1, 2, 3, 4].map(() => listen((_q, s) => s.end())));
  const caller = new PooledHttpClient(2, 2, 2);
  for (const [, address] of hosts) {
    const r = await caller.call(address, "GET", "/status", undefined, 5000);
    assert.equal(r.kind, "answer");
    // The connection is given back once its answer has been read to the end.
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.ok(caller.idle <= 2, `${caller.idle} idle`);
  caller.close();
  for (const [server] of hosts) server.closeAllConnections();
  for (const [server] of hosts) server.close();
});

test("a call that never got its turn is known not to have been sent", async () => {
  const held: http.ServerResponse[] = [];
  const [server, address] = await listen((_q, s) => held.push(s));
  const caller = new PooledHttpClient(2, 1, 1);
  const first = caller.call(address, "GET", "/slow", undefined, 60_000);
  const second = await caller.call(address, "GET", "/late", undefined, 20);
  assert.deepEqual(second, { kind: "unsent", own: true });
  while (held.length === 0) await new Promise((resolve) => setImmediate(resolve));
  held[0]?.end();
  assert.equal((await first).kind, "answer");
  assert.equal(held.length, 1, "the second never arrived");
  caller.close();
  server.closeAllConnections();
  server.close();
});

const SILENT = { error: () => {}, info: () => {}, debug: () => {}, enabled: () => false };

/** What is written on one connection, and all that comes back until the other side closes or rests. */
const exchange = (port: number, pieces: readonly string[], answers: number): Promise<string> =>
  new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1");
    let text = "";
    const finish = (): void => {
      socket.destroy();
      resolve(text);
    };
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const complete = text.split("HTTP/1.1 ").length - 1;
      if (complete >= answers && text.endsWith("\u00ff")) finish();
    });
    socket.on("end", finish);
    socket.on("error", reject);
    const write = (i: number): void => {
      if (i < pieces.length)
        socket.write(pieces[i] as string, "latin1", () => setImmediate(write, i + 1));
    };
    socket.on("connect", () => write(0));
  });

const post = (body: string, length = body.length): string =>
  `POST /agent/beat HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${body}`;

/**
 * Bodies are gathered without Node's stream: whole ones in one piece or many, on one connection
 * after the other, and what is too large is refused whether or not it says so.
 */
const bodies: readonly (readonly [string, readonly string[], number, RegExp])[] = [
  ["none", ["GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"], 1, /200 OK[\s\S]*0\u00ff$/],
  ["in one piece", [post("abc")], 1, /200 OK[\s\S]*3\u00ff$/],
  ["in pieces", [post("ab", 4), "c", "d"], 1, /200 OK[\s\S]*4\u00ff$/],
  ["two requests on a connection", [post("abc"), post("abcde")], 2, /3\u00ffHTTP[\s\S]*5\u00ff$/],
  ["too large, by its head", [post("", MAX_BODY_BYTES + 1)], 1, /413 [\s\S]*connection: close/i],
  [
    "too large, found while it comes",
    [
      `POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${(MAX_BODY_BYTES + 1).toString(16)}\r\n`,
      "x".repeat(MAX_BODY_BYTES + 1),
    ],
    1,
    /413 [\s\S]*connection: close/i,
  ],
];
test("bodies of requests, whole or refused", async () => {
  const seen: HttpRequest[] = [];
  const server = makeServer(
    (request) => {
      seen.push(request);
      return { status: 200, body: Buffer.from(`${request.bytes.length}\u00ff`, "latin1") };
    },
    100,
    SILENT,
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  for (const [name, pieces, answers, expected] of bodies)
    assert.match(await exchange(port, pieces, answers), expected, name);
  assert.equal(seen.length, 5, "what was refused reached no handler");
  server.closeAllConnections();
  server.close();
});

test("a handler that throws is answered with 503, and the connection goes on", async () => {
  let calls = 0;
  const server = makeServer(
    () => {
      calls++;
      if (calls === 1) throw new Error("fault");
      return { status: 200, body: Buffer.from("\u00ff", "latin1") };
    },
    100,
    SILENT,
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const text = await exchange(port, [post("a"), post("b")], 2);
  assert.match(text, /503 [\s\S]*retry-after: 1[\s\S]*200 OK/i);
  server.closeAllConnections();
  server.close();
});
