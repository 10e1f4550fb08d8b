/** The weight store: HTTP with range requests and one rate limit for all readers. */
import { createHash } from 'node:crypto';
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import type { PlatformFaults } from './fault-injector.js';
import { createFaultInjector } from './fault-injector.js';
import { requestUrl, getHeader, listen, readJson, sendJson } from './http.js';
import { createTokenBucket } from './token-bucket.js';

const WEIGHTS_PATH = /^\/weights\/([^/]+)\/(\d+)\/(\d+)$/;
const RANGE = /^bytes=(\d+)-(\d*)$/;

/** Options of `createWeightStoreStandIn`. */
export interface WeightStoreStandInOptions {
  port?: number;
  clock?: Clock;
  /** Size of one expert's weights. */
  expertBytes?: number;
  bytesPerSecond?: number;
}

/** Counters of the store. */
export interface WeightStoreStats {
  requests: number;
  bytes: number;
  rateLimited: number;
  brokenOff: number;
}

/** A running weight store. */
export interface WeightStoreStandIn {
  readonly url: string;
  setFaults(change: Partial<PlatformFaults>): void;
  /** Resets the connection of the next `count` responses after half of the body. */
  breakOff(count: number): void;
  stats(): WeightStoreStats;
  close(): Promise<void>;
}

/** The weights of one expert; deterministic for a path. */
export const weightsOf = (path: string, bytes: number): Buffer => {
  const seed = createHash('sha256').update(path).digest();
  return Buffer.alloc(bytes, seed);
};

const rangeOf = (header: string | undefined, size: number): [number, number] | 'none' | 'bad' => {
  if (header === undefined) return 'none';
  const match = RANGE.exec(header);
  if (!match) return 'none';
  const first = Number(match[1]);
  const last = match[2] ? Math.min(Number(match[2]), size - 1) : size - 1;
  return first > last ? 'bad' : [first, last];
};

/**
 * Starts a weight store; besides `/faults` it has `POST /break-off` `{"count":n}` and `GET /stats`.
 */
export const createWeightStoreStandIn = async (
  options: WeightStoreStandInOptions = {},
): Promise<WeightStoreStandIn> => {
  const { clock = systemClock, expertBytes = 65_536, bytesPerSecond = 64_000_000 } = options;
  const faultInjector = createFaultInjector(clock);
  const burst = Math.max(bytesPerSecond / 4, expertBytes);
  const bucket = createTokenBucket(clock, bytesPerSecond, burst);
  const stats: WeightStoreStats = { requests: 0, bytes: 0, rateLimited: 0, brokenOff: 0 };
  let breakOffsLeft = 0;

  const server = await listen(async (req, res) => {
    if (await faultInjector.serveFaults(req, res)) return;
    const { pathname } = requestUrl(req);
    if (pathname === '/stats') {
      sendJson(res, 200, stats);
      return;
    }
    if (pathname === '/break-off') {
      breakOffsLeft = (await readJson<{ count: number }>(req)).count;
      sendJson(res, 200, {});
      return;
    }
    if (!WEIGHTS_PATH.test(pathname)) {
      sendJson(res, 404, {});
      return;
    }
    if (!(await faultInjector.admit(req, res, 'read'))) return;
    const range = rangeOf(getHeader(req, 'range'), expertBytes);
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
    if (breakOffsLeft > 0) {
      breakOffsLeft -= 1;
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
    setFaults: faultInjector.setFaults,
    breakOff: (count) => {
      breakOffsLeft = count;
    },
    stats: () => ({ ...stats }),
    close: server.close,
  };
};
