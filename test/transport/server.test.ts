import assert from "node:assert/strict";
import net, { type AddressInfo } from "node:net";
import test from "node:test";
import { type HttpRequest, MAX_BODY_BYTES, makeServer } from "../../src/transport/server.js";

const NULL_LOGGER = { error: () => {}, info: () => {}, debug: () => {}, enabled: () => false };

/**
 * Writes pieces on one connection. Returns all received data once the server has closed the
 * connection or sent the expected number of responses.
 */
const exchange = (
  port: number,
  pieces: readonly string[],
  responseCount: number,
): Promise<string> =>
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
      if (complete >= responseCount && text.endsWith("\u00ff")) finish();
    });
    socket.on("end", finish);
    socket.on("error", reject);
    const write = (index: number): void => {
      if (index < pieces.length)
        socket.write(pieces[index] as string, "latin1", () => setImmediate(write, index + 1));
    };
    socket.on("connect", () => write(0));
  });

const post = (body: string, length = body.length): string =>
  `POST /agent/beat HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${body}`;

/**
 * Request bodies are collected without Node's stream. They arrive in one piece or several, from
 * consecutive requests on one connection, or are too large with and without a `content-length`
 * header.
 */
const bodies: readonly (readonly [
  name: string,
  pieces: readonly string[],
  responseCount: number,
  expected: RegExp,
])[] = [
  ["none", ["GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"], 1, /200 OK[\s\S]*0\u00ff$/],
  ["in one piece", [post("abc")], 1, /200 OK[\s\S]*3\u00ff$/],
  ["in pieces", [post("ab", 4), "c", "d"], 1, /200 OK[\s\S]*4\u00ff$/],
  ["two requests on a connection", [post("abc"), post("abcde")], 2, /3\u00ffHTTP[\s\S]*5\u00ff$/],
  [
    "too large, by its content-length",
    [post("", MAX_BODY_BYTES + 1)],
    1,
    /413 [\s\S]*connection: close/i,
  ],
  [
    "too large, found while it is received",
    [
      `POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${(MAX_BODY_BYTES + 1).toString(16)}\r\n`,
      "x".repeat(MAX_BODY_BYTES + 1),
    ],
    1,
    /413 [\s\S]*connection: close/i,
  ],
];
test("a request body is delivered complete, or refused if it is too large", async () => {
  const seen: HttpRequest[] = [];
  const server = makeServer(
    (request) => {
      seen.push(request);
      return { status: 200, body: Buffer.from(`${request.bytes.length}\u00ff`, "latin1") };
    },
    100,
    NULL_LOGGER,
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  for (const [name, pieces, responseCount, expected] of bodies)
    assert.match(await exchange(port, pieces, responseCount), expected, name);
  assert.equal(seen.length, 5, "a refused request must not reach the handler");
  server.closeAllConnections();
  server.close();
});

test("a handler that throws causes a 503, and the connection stays usable", async () => {
  let calls = 0;
  const server = makeServer(
    () => {
      calls++;
      if (calls === 1) throw new Error("fault");
      return { status: 200, body: Buffer.from("\u00ff", "latin1") };
    },
    100,
    NULL_LOGGER,
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const text = await exchange(port, [post("a"), post("b")], 2);
  assert.match(text, /503 [\s\S]*retry-after: 1[\s\S]*200 OK/i);
  server.closeAllConnections();
  server.close();
});
