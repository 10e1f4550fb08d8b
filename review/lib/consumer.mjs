// A consumer with connections of its own that it keeps open, as PROTOCOL.md describes it.

import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { API_KEY, HOST } from './operator.mjs';

/** Creates a consumer; `send` resolves when its request has ended, with what was seen on the connection. */
export const createConsumer = () => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });

  const send = ({ to, method = 'POST', path, deadlineMs, body = '{"text":"x"}', headers = {} }) =>
    new Promise((resolve) => {
      const id = randomBytes(8).toString('hex');
      const result = { id, to: to.name, sentAt: performance.now(), body: '', isComplete: false };
      const req = request({
        ...{ host: to.ip, port: to.port, method, path, agent },
        headers: {
          ...{ Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs) },
          ...{ 'X-Api-Key': API_KEY, 'Content-Length': String(body.length), ...headers },
        },
      });
      let timer;
      const end = (how) => {
        if (result.endedAt !== undefined) return;
        clearTimeout(timer);
        Object.assign(result, { how, endedAt: performance.now(), isReused: req.reusedSocket });
        resolve(result);
      };
      timer = setTimeout(() => {
        end('gave-up');
        req.destroy();
      }, deadlineMs);
      req.on('finish', () => {
        result.sentAt = performance.now();
      });
      req.on('error', (err) => end(err.code ?? err.message));
      req.on('response', (res) => {
        result.status = res.statusCode;
        result.stamp = res.headers['x-server-stamp'];
        result.connection = res.headers.connection;
        res.on('data', (chunk) => {
          result.body += chunk.toString('latin1');
        });
        res.on('error', () => {});
        res.on('close', () => {
          result.isComplete = res.complete;
          end(res.complete ? 'answered' : 'broken-off');
        });
      });
      req.end(body);
    });

  return {
    send,
    /** Whether a connection is open that the next request would use. */
    hasConnection: () => Object.keys(agent.freeSockets).length > 0,
    close: () => agent.destroy(),
  };
};
