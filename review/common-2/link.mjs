// A link to a server that can be cut for some time. As on Linux, what was sent meanwhile is not lost: it is sent again after
// 0.2, 0.4, 0.8 ... s, also when the sender has closed the connection since, unless it has reset it.
import { connect, createServer } from "node:net";

const FIRST_RETRANSMISSION_MS = 200;

export class Link {
  isCut = false;
  healedMs = 0;
  // What was delivered late: when it was sent and when it arrived, in milliseconds since 1970.
  late = [];
  #server = createServer(
    { allowHalfOpen: true },
    (socket) => this.#add(socket),
  );
  #sockets = new Set();

  constructor({ listen, target }) {
    Object.assign(this, { listen, target });
  }

  start() {
    const { ip, port } = this.listen;
    return new Promise((resolve) => this.#server.listen(port, ip, resolve));
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    this.healedMs = Date.now();
  }

  close() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #add(client) {
    const server = connect({
      host: this.target.ip,
      port: this.target.port,
      allowHalfOpen: true,
    });
    for (const socket of [client, server]) {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    }
    this.#forward(client, server);
    this.#forward(server, client);
  }

  #forward(from, to) {
    let last = Promise.resolve();
    // Everything on a connection arrives in its order; what comes first is sent again first.
    const enqueue = (step) => {
      const sentMs = Date.now();
      last = last.then(() => this.#waitDelivery(sentMs)).then(step);
    };
    from.on("data", (bytes) => enqueue(() => to.destroyed || to.write(bytes)));
    from.on("end", () => enqueue(() => to.destroyed || to.end()));
    from.on("close", (hadError) => {
      // A reset takes the bytes that are held up with it.
      hadError ? to.destroy() : enqueue(() => to.end());
    });
  }

  async #waitDelivery(sentMs) {
    if (!this.isCut) {
      return;
    }
    let delayMs = FIRST_RETRANSMISSION_MS;
    let atMs = sentMs;
    do {
      atMs += delayMs;
      delayMs *= 2;
      const leftMs = atMs - Date.now();
      if (leftMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, leftMs));
      }
    } while (this.isCut || Date.now() > atMs + FIRST_RETRANSMISSION_MS);
    this.late.push({ sentMs, arrivedMs: Date.now() });
  }
}
