/** Callers on kept connections: each request goes out on a connection that has carried one before, once there is one. */

import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { HOST, KEY } from './deployment.mjs';

/** Creates the callers of one entry; `onEnd` gets each request when it has ended. */
export const createCallers = ({ ip, port }, onEnd) => {
  const agent = new Agent({ keepAlive: true, maxSockets: Infinity, timeout: 12_000 });

  /**
   * Sends a request. Its `end` is `answered`, `closed` (the connection ended without a complete answer), `gave-up` (at its
   * time limit), or `waiting` until then.
   */
  const send = ({ path, route, deadlineMs, body = '{}', fields = {} }) => {
    const id = randomBytes(8).toString('hex');
    const call = { id, route, at: Date.now(), isKept: false, end: 'waiting', bytes: 0 };
    const headers = {
      ...{ Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs) },
      ...{ 'X-Api-Key': KEY, 'Content-Length': String(body.length), ...fields },
    };
    const req = request({ host: ip, port, method: 'POST', path, headers, agent });
    const finish = (end, why) => {
      if (call.end !== 'waiting') return;
      clearTimeout(call.timer);
      Object.assign(call, { timer: undefined, end, why, tookMs: Date.now() - call.at });
      onEnd(call);
    };
    Object.assign(call, {
      timer: setTimeout(() => {
        finish('gave-up');
        req.destroy();
      }, deadlineMs),
    });
    req.on('socket', () => Object.assign(call, { isKept: req.reusedSocket }));
    req.on('error', (err) => finish('closed', err.code ?? err.message));
    req.on('response', (res) => {
      Object.assign(call, { status: res.statusCode, stamp: res.headers['x-server-stamp'] });
      const chunks = [];
      res.on('data', (bytes) => {
        call.bytes += bytes.length;
        chunks.push(bytes);
      });
      res.on('error', () => {});
      res.on('close', () => {
        Object.assign(call, { body: chunks.join('') });
        finish(res.complete ? 'answered' : 'closed', res.complete ? undefined : 'cut');
      });
    });
    req.end(body);
    return call;
  };
  return { send, close: () => agent.destroy() };
};
