// CBOR over HTTP/1.1 for the stand-ins and the clients of the cases. Loopback only.
import http from "node:http";
import net from "node:net";
import { Encoder } from "cbor-x";

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
/** Integers over 32 bits are sent as CBOR integers, not as floating point numbers. */
const plain = (value) => {
  if (typeof value === "number" && Number.isInteger(value) && value > 0xffff_ffff) return BigInt(value);
  if (Array.isArray(value)) return value.map(plain);
  if (typeof value === "object" && value !== null && !Buffer.isBuffer(value))
    return Object.fromEntries(Object.entries(value).map(([key, each]) => [key, plain(each)]));
  return value;
};
const numbers = (value) => {
  if (typeof value === "bigint") return Number(value);
  if (Array.isArray(value)) return value.map(numbers);
  if (typeof value === "object" && value !== null)
    return Object.fromEntries(Object.entries(value).map(([key, each]) => [key, numbers(each)]));
  return value;
};
export const encode = (value) => codec.encode(plain(value));
export const decode = (bytes) => numbers(codec.decode(bytes));

const startedAt = performance.now();
/** Milliseconds since the start of this process, on the steady clock. */
export const now = () => performance.now() - startedAt;
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Answers that are never sent: the connection stays open and silent. */
export const NO_ANSWER = Symbol("no answer");
/** Answers that close the connection instead. */
export const RESET = Symbol("reset");

/**
 * Serves `handle(method, path, body)` on a free loopback port. The handler returns `{status, body}`,
 * NO_ANSWER or RESET, or a promise of one.
 */
export const serve = async (handle) => {
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => undefined);
    request.on("end", async () => {
      let body;
      const bytes = Buffer.concat(chunks);
      try {
        body = bytes.length === 0 ? undefined : decode(bytes);
      } catch {
        body = undefined;
      }
      const answer = await handle(request.method, request.url, body, request);
      if (answer === NO_ANSWER) return;
      if (answer === RESET) {
        request.socket.destroy();
        return;
      }
      const payload = answer.body === undefined ? Buffer.alloc(0) : encode(answer.body);
      response.writeHead(answer.status, {
        "content-type": "application/cbor",
        "content-length": payload.length,
      });
      response.end(payload);
    });
  });
  server.keepAliveTimeout = 0;
  server.headersTimeout = 0;
  server.requestTimeout = 0;
  server.on("clientError", (_error, socket) => socket.destroy());
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  return {
    address: `127.0.0.1:${port}`,
    port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

const agent = new http.Agent({ keepAlive: true, maxSockets: 64 });
export const closeClients = () => agent.destroy();

/** One call. Resolves to `{status, body, headers}`, or to undefined without an answer in time. */
export const call = (address, method, path, body, timeoutMs, raw) =>
  new Promise((resolve) => {
    const payload = raw ?? (body === undefined ? undefined : encode(body));
    const colon = address.lastIndexOf(":");
    let settled = false;
    const settle = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      method,
      path,
      agent,
      headers:
        payload === undefined
          ? {}
          : { "content-type": "application/cbor", "content-length": payload.length },
    });
    const timer = setTimeout(() => {
      settle(undefined);
      request.destroy();
    }, timeoutMs);
    request.on("error", () => settle(undefined));
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => settle(undefined));
      response.on("end", () => {
        const bytes = Buffer.concat(chunks);
        let decoded;
        try {
          decoded = bytes.length === 0 ? undefined : decode(bytes);
        } catch {
          decoded = undefined;
        }
        settle({ status: response.statusCode, body: decoded, headers: response.headers });
      });
    });
    request.end(payload);
  });

/**
 * Free loopback ports for processes that are started later. They are taken below the range from which the
 * system gives ports to clients, so that nothing else gets them in the meantime.
 */
export const freePorts = async (count) => {
  const servers = new Map();
  while (servers.size < count) {
    const port = 15_000 + Math.floor(Math.random() * 15_000);
    if (servers.has(port)) continue;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (isFree) servers.set(port, server);
  }
  await Promise.all([...servers.values()].map((server) => new Promise((resolve) => server.close(resolve))));
  return [...servers.keys()];
};
