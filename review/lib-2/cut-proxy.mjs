/**
 * A link between callers and one server, as a proxy that can be cut. What a side sends during a cut is held, and arrives
 * after it when TCP would send it again: 200 ms after it was first sent, and then after twice the time each time.
 */

import { connect, createServer } from 'node:net';
import { setTimeout } from 'node:timers';

const FIRST_RETRY_MS = 200;

/** Time of the first repetition after `healedAt` of what was first sent at `sentAt`. */
const repeatedAt = (sentAt, healedAt) => {
  let delayMs = FIRST_RETRY_MS;
  let at = sentAt + delayMs;
  while (at < healedAt) {
    delayMs *= 2;
    at += delayMs;
  }
  return at;
};

/** Starts the link; `from` and `to` are addresses with `host` and `port`. */
export const startLink = async (from, to) => {
  let isCut = false;
  const directions = new Set();

  /** Carries bytes and the end of one side's sending to the other side. */
  const carry = (source, target) => {
    const held = [];
    let firstHeldAt;
    let isDue = true;
    const deliver = () => {
      isDue = true;
      held.splice(0).forEach((send) => send());
      firstHeldAt = undefined;
    };
    const pass = (send) => {
      if (!isCut && isDue) {
        send();
        return;
      }
      firstHeldAt ??= Date.now();
      held.push(send);
    };
    const direction = {
      cut: () => {
        isDue = false;
      },
      heal: (now) => {
        if (firstHeldAt === undefined) deliver();
        else setTimeout(deliver, repeatedAt(firstHeldAt, now) - now);
      },
    };
    if (isCut) direction.cut();
    directions.add(direction);
    source.on('data', (bytes) => pass(() => target.write(bytes)));
    source.on('end', () => pass(() => target.end()));
    source.on('error', () => pass(() => target.resetAndDestroy()));
    source.on('close', () => {
      if (!isCut && held.length === 0) directions.delete(direction);
    });
  };

  const sockets = new Set();
  const server = createServer({ allowHalfOpen: true, noDelay: true }, (caller) => {
    const upstream = connect({ ...to, allowHalfOpen: true, noDelay: true });
    [caller, upstream].forEach((socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    carry(caller, upstream);
    carry(upstream, caller);
  });
  await new Promise((resolve) => {
    server.listen(from.port, from.host, resolve);
  });
  return {
    cut: () => {
      isCut = true;
      directions.forEach((direction) => direction.cut());
    },
    heal: () => {
      isCut = false;
      const now = Date.now();
      directions.forEach((direction) => direction.heal(now));
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
