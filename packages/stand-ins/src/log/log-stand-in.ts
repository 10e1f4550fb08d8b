/** The log service: the Kafka REST interface backed by in-memory partitions. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import type { PlatformFaults } from '../fault-injector.js';
import { createFaultInjector } from '../fault-injector.js';
import { requestUrl, getHeader, listen, readJson, sendJson } from '../http.js';
import { createSignal } from '../signal.js';
import { createTokenBucket } from '../token-bucket.js';
import type { Partition, Retention } from './partition.js';
import { createPartition } from './partition.js';

const CONTENT_TYPE = 'application/vnd.kafka.json.v2+json';
const RECORDS_PATH = /^\/topics\/([^/]+)\/partitions\/(\d+)(?:\/(offsets|records))?$/;
const DEFAULT_MAX_BYTES = 1_048_576;
/** Error code of the Kafka REST interface. */
const OFFSET_OUT_OF_RANGE = 40_402;

/** Options of the log stand-in. */
export interface LogStandInOptions {
  port?: number;
  clock?: Clock;
  /** Append requests (not records) per second, over all topics. */
  appendsPerSecond?: number;
  retention?: Partial<Retention>;
}

/** Counters of the log. */
export interface LogStats {
  appends: number;
  records: number;
  reads: number;
  /** Long polls currently waiting. */
  polling: number;
  rateLimited: number;
  answersLost: number;
  appendsByClient: Record<string, number>;
}

/** A running log stand-in. */
export interface LogStandIn {
  readonly url: string;
  setFaults(change: Partial<PlatformFaults>): void;
  /** Deletes the records with offsets below `before`, as retention does. */
  expire(topic: string, partition: number, before: number): void;
  /** Returns the retained records. */
  records(topic: string, partition?: number): unknown[];
  stats(): LogStats;
  /**
   * Resolves when `predicate` returns true; checked on each append and at the start of each long
   * poll.
   */
  waitFor(predicate: (stats: LogStats) => boolean): Promise<void>;
  close(): Promise<void>;
}

/** Starts a log service; besides `/faults` it serves `POST /expire` and `GET /stats`. */
export const createLogStandIn = async (options: LogStandInOptions = {}): Promise<LogStandIn> => {
  const { clock = systemClock, appendsPerSecond = 400, port = 0 } = options;
  const retention: Retention = { records: Infinity, ms: Infinity, ...options.retention };
  const partitions = new Map<string, Partition>();
  const bucket = createTokenBucket(clock, appendsPerSecond, appendsPerSecond);
  const faultInjector = createFaultInjector(clock);
  const appended = createSignal();
  const progressed = createSignal();
  const stats: LogStats = {
    appends: 0,
    records: 0,
    reads: 0,
    polling: 0,
    rateLimited: 0,
    answersLost: 0,
    appendsByClient: {},
  };

  const partitionOf = (topic: string, index: number): Partition => {
    const key = `${topic}/${index}`;
    const partition = partitions.get(key) ?? createPartition(topic, index, clock, retention);
    partitions.set(key, partition);
    return partition;
  };

  const countAppend = (req: IncomingMessage, records: number): void => {
    const client = getHeader(req, 'x-client') ?? '';
    stats.appends += 1;
    stats.records += records;
    stats.appendsByClient[client] = (stats.appendsByClient[client] ?? 0) + 1;
  };

  const handleAppend = async (
    req: IncomingMessage,
    res: ServerResponse,
    topic: string,
    index: number,
  ): Promise<void> => {
    const body = await readJson<{ records: { key?: unknown; value: unknown }[] }>(req);
    if (!(await faultInjector.admit(req, res, 'append'))) return;
    const waitMs = bucket.take(1);
    if (waitMs > 0) {
      stats.rateLimited += 1;
      const retryAfter = String(Math.max(1, Math.ceil(waitMs / 1000)));
      sendJson(res, 429, { error_code: 42901, message: 'rate' }, { 'retry-after': retryAfter });
      return;
    }
    const partition = partitionOf(topic, index);
    const offsets = body.records.map((record) => ({
      partition: index,
      offset: partition.append(record),
    }));
    countAppend(req, offsets.length);
    appended.notify();
    progressed.notify();
    if (faultInjector.consumeLostAnswer()) {
      stats.answersLost += 1;
      req.socket.destroy();
      return;
    }
    sendJson(res, 200, { offsets }, { 'content-type': CONTENT_TYPE });
  };

  /**
   * Waits until a record at `offset` exists, the timeout expires, the faults change, or the reader
   * disconnects.
   */
  const awaitRecord = async (
    res: ServerResponse,
    partition: Partition,
    offset: number,
    timeoutMs: number,
  ): Promise<void> => {
    let cancels: (() => void)[] = [];
    stats.polling += 1;
    progressed.notify();
    await new Promise<void>((resolve) => {
      const check = (): void => {
        if (partition.end() > offset) resolve();
      };
      res.once('close', resolve);
      cancels = [
        appended.listen(check),
        faultInjector.faultsChanged.listen(resolve),
        clock.after(timeoutMs, resolve),
      ];
    });
    cancels.forEach((stop) => stop());
    stats.polling -= 1;
  };

  const handleRead = async (
    req: IncomingMessage,
    res: ServerResponse,
    topic: string,
    index: number,
  ): Promise<void> => {
    if (!(await faultInjector.admit(req, res, 'read'))) return;
    const query = requestUrl(req).searchParams;
    const offset = Number(query.get('offset') ?? 0);
    const timeoutMs = Number(query.get('timeout') ?? 0);
    const maxBytes = Number(query.get('max_bytes') ?? DEFAULT_MAX_BYTES);
    const partition = partitionOf(topic, index);
    stats.reads += 1;
    if (partition.end() === offset && timeoutMs > 0) {
      await awaitRecord(res, partition, offset, timeoutMs);
      if (!(await faultInjector.admit(req, res, 'read'))) return;
    }
    if (offset < partition.begin() || offset > partition.end()) {
      sendJson(res, 404, { error_code: OFFSET_OUT_OF_RANGE, message: 'offset out of range' });
      return;
    }
    sendJson(res, 200, partition.read(offset, maxBytes), { 'content-type': CONTENT_TYPE });
  };

  const serveOffsets = async (
    req: IncomingMessage,
    res: ServerResponse,
    topic: string,
    index: number,
  ): Promise<void> => {
    if (!(await faultInjector.admit(req, res, 'read'))) return;
    const partition = partitionOf(topic, index);
    sendJson(res, 200, { beginning_offset: partition.begin(), end_offset: partition.end() });
  };

  const serveControl = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    if (await faultInjector.serveFaults(req, res)) return;
    if (req.method === 'POST' && req.url === '/expire') {
      const body = await readJson<{ topic: string; partition?: number; before: number }>(req);
      partitionOf(body.topic, body.partition ?? 0).expire(body.before);
      sendJson(res, 200, {});
      return;
    }
    if (req.url === '/stats') sendJson(res, 200, stats);
    else sendJson(res, 404, { error_code: 40401, message: 'no such address' });
  };

  const server = await listen(async (req, res) => {
    const match = RECORDS_PATH.exec(requestUrl(req).pathname);
    if (!match) {
      await serveControl(req, res);
      return;
    }
    const topic = decodeURIComponent(match[1] ?? '');
    const index = Number(match[2]);
    if (req.method === 'POST') await handleAppend(req, res, topic, index);
    else if (match[3] === 'offsets') await serveOffsets(req, res, topic, index);
    else await handleRead(req, res, topic, index);
  }, port);

  return {
    url: server.url,
    setFaults: faultInjector.setFaults,
    expire: (topic, index, before) => partitionOf(topic, index).expire(before),
    records: (topic, index = 0) => partitionOf(topic, index).read(0, Infinity),
    stats: () => structuredClone(stats),
    waitFor: async (predicate) => {
      while (!predicate(stats)) await progressed.wait();
    },
    close: server.close,
  };
};
