// Stand-in of an application server: slots, a short queue, and the answers that PROTOCOL.md describes.

import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const HEARTBEAT_MS = 1_200;
const QUEUE = 24;
const SERVERS_TOPIC = 'keyed.servers';

/**
 * Starts a server and lists it in the store. `run` answers one request: it gets the request, its response and the
 * headers of a receipt. `onArrival` is called with every request that reaches the server, `onRun` when one begins to run.
 */
export const startServer = async (options) => {
  const { store, host, port = 0, service, zone, slots = 8, run } = options;
  const { onArrival = () => {}, onRun = () => {} } = options;
  const instance = `i-${randomBytes(6).toString('hex')}`;
  let active = 0;
  let sequence = 0;
  let isListed = true;
  const queue = [];

  const startNext = () => {
    if (active >= slots) return;
    const next = queue.shift();
    if (!next) return;
    const { req, res, id } = next;
    if (res.destroyed) {
      startNext();
      return;
    }
    active += 1;
    let isOver = false;
    const finish = () => {
      if (isOver) return;
      isOver = true;
      active -= 1;
      startNext();
    };
    res.once('close', finish);
    onRun({ id, instance, at: performance.now() });
    run(req, res, {
      'X-Request-Id': id,
      'X-Server-Stamp': `${instance}.${id}`,
      'X-Server-Load': `${active},${queue.length},${slots}`,
    });
  };

  const server = createServer((req, res) => {
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Instance-Id': instance, 'Content-Length': '0' }).end();
      return;
    }
    const id = req.headers['x-request-id'];
    onArrival({ id, instance, at: performance.now() });
    req.resume();
    req.once('end', () => {
      const refuse = (status) =>
        res
          .writeHead(status, { 'X-Not-Executed': '1', 'X-Request-Id': id, 'Content-Length': '0' })
          .end();
      if (req.headers['x-expect-instance'] !== instance) refuse(421);
      else if (active >= slots && queue.length >= QUEUE) refuse(503);
      else {
        queue.push({ req, res, id });
        startNext();
      }
    });
  });
  server.keepAliveTimeout = 5_000;
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  const address = `${host}:${server.address().port}`;

  const list = (state = 'ready') => {
    sequence += 1;
    const entry = {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      warmup_left_ms: 0,
      sequence,
    };
    return store.put(SERVERS_TOPIC, instance, entry);
  };
  list();
  const heartbeat = setInterval(() => {
    if (isListed) list();
  }, HEARTBEAT_MS);

  const close = () => {
    clearInterval(heartbeat);
    isListed = false;
    server.close();
    server.closeAllConnections();
  };

  return {
    instance,
    address,
    active: () => active,
    /** Leaves without a draining report: its entry is removed, and it goes on serving. Returns the time of the ack. */
    leave: () => {
      isListed = false;
      return store.put(SERVERS_TOPIC, instance, undefined);
    },
    closeAfter: (ms) => setTimeout(close, ms),
    close,
  };
};
