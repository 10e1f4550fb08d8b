/** The weight store: HTTP with ranges under a rate limit over all readers. */
import { createHash } from 'node:crypto';
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import type { PlatformFaults } from './gate.js';
import { createGate } from './gate.js';
import { addressOf, headerOf, listen, readJson, sendJson } from './http.js';
import { createTokenBucket } from './token-bucket.js';

const WEIGHTS_PATH = /^\/weights\/([^/]+)\/(\d+)\/(\d+)$/;
const RANGE = /^bytes=(\d+)-(\d*)$/;

/** Options of the weight store. */
export interface WeightStoreStandInOptions {
  port?: number;
  clock?: Clock;
  /** Size of one expert's weights. */
  expertBytes?: number;
  bytesPerSecond?: number;
}

/** What the store has served. */
export interface WeightStoreStats {
  requests: number;
  bytes: number;
  rateLimited: number;
  brokenOff: number;
}

/** The running weight store. */
export interface WeightStoreStandIn {
  readonly url: string;
  setFaults(change: Partial<PlatformFaults>): void;
  /** The next `count` answers break off in the middle of the body. */
  breakOff(count: number): void;
  stats(): WeightStoreStats;
  close(): Promise<void>;
}

/** The weights of one expert: the same bytes at every read. */
export const weightsOf = (path: string, bytes: number): Buffer => {
  const seed = createHash('sha256').update(path).digest();
  return Buffer.alloc(bytes, seed);
};

const rangeOf = (header: string | undefined, size: number): [number, number] | 'none' | 'bad' => {
  if (header === undefined) return 'none';
  const found = RANGE.exec(header);
  if (!found) return 'none';
  const first = Number(found[1]);
  const last = found[2] ? Math.min(Number(found[2]), size - 1) : size - 1;
  return first > last ? 'bad' : [first, last];
};

/** Starts a weight store; `POST /break-off` `{"count":n}` and `GET /stats` besides the faults. */
export const createWeightStoreStandIn = async (
  options: WeightStoreStandInOptions = {},
): Promise<WeightStoreStandIn> => {
  const { clock = systemClock, expertBytes = 65_536, bytesPerSecond = 64_000_000 } = options;
  const gate = createGate(clock);
  const burst = Math.max(bytesPerSecond / 4, expertBytes);
  const bucket = createTokenBucket(clock, bytesPerSecond, burst);
  const stats: WeightStoreStats = { requests: 0, bytes: 0, rateLimited: 0, brokenOff: 0 };
  let toBreak = 0;

  const server = await listen(async (req, res) => {
    if (await gate.serve(req, res)) return;
    const { pathname } = addressOf(req);
    if (pathname === '/stats') {
      sendJson(res, 200, stats);
      return;
    }
    if (pathname === '/break-off') {
      toBreak = (await readJson<{ count: number }>(req)).count;
      sendJson(res, 200, {});
      return;
    }
    if (!WEIGHTS_PATH.test(pathname)) {
      sendJson(res, 404, {});
      return;
    }
    if (!(await gate.pass(req, res, 'read'))) return;
    const range = rangeOf(headerOf(req, 'range'), expertBytes);
    if (range === 'bad') {
      res.writeHead(416, { 'content-range': `bytes */${expertBytes}` }).end();
      return;
    }
    const [first, last] = range === 'none' ? [0, expertBytes - 1] : range;
    const length = last - first + 1;
    const waitMs = bucket.take(length);
    if (waitMs > 0) {
      stats.rateLimited += 1;
      const retryAfter = String(Math.max(1, Math.ceil(waitMs / 1000)));
      sendJson(res, 429, {}, { 'retry-after': retryAfter });
      return;
    }
    const body = weightsOf(pathname, expertBytes).subarray(first, last + 1);
    stats.requests += 1;
    res.writeHead(range === 'none' ? 200 : 206, {
      'content-length': String(length),
      'accept-ranges': 'bytes',
      ...(range === 'none' ? {} : { 'content-range': `bytes ${first}-${last}/${expertBytes}` }),
    });
    if (toBreak > 0) {
      toBreak -= 1;
      stats.brokenOff += 1;
      const half = body.subarray(0, Math.floor(length / 2));
      stats.bytes += half.length;
      res.write(half, () => req.socket.destroy());
      return;
    }
    stats.bytes += length;
    res.end(body);
  }, options.port ?? 0);

  return {
    url: server.url,
    setFaults: gate.set,
    breakOff: (count) => {
      toBreak = count;
    },
    stats: () => ({ ...stats }),
    close: server.close,
  };
};
