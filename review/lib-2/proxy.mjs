// A TCP proxy on loopback that passes, refuses, holds or delays connections.
import net from "node:net";

export class Proxy {
  /** `pass`, `refuse` (connections are reset), `hold` (bytes are kept back until `pass`). */
  mode = "pass";
  delayMs = 0;
  #held = [];
  #sockets = new Set();

  constructor(target) {
    const [host, port] = target.split(":");
    this.server = net.createServer((client) => {
      if (this.mode === "refuse") return client.destroy();
      const upstream = net.connect(Number(port), host);
      this.link(client, upstream);
      this.link(upstream, client);
    });
  }

  link(from, to) {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("error", () => undefined);
    const send = (act) => {
      const run = () => (this.mode === "hold" ? this.#held.push(act) : act());
      if (this.delayMs > 0) setTimeout(run, this.delayMs);
      else run();
    };
    from.on("data", (chunk) => send(() => to.writable && to.write(chunk)));
    from.on("close", () => {
      this.#sockets.delete(from);
      send(() => to.destroy());
    });
  }

  setMode(mode) {
    this.mode = mode;
    if (mode === "refuse") for (const socket of this.#sockets) socket.destroy();
    if (mode === "pass") for (const act of this.#held.splice(0)) act();
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }

  close() {
    this.server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
