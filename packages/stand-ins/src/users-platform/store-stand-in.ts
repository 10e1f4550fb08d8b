/** A minimal stand-in for the users' store: the keyed topics of its log, with switchable faults. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** How the store responds to calls. */
export type StoreMode =
  | 'up'
  /** Every call gets a 503 response. */
  | 'busy'
  /** Connections are accepted, but no call gets a response. */
  | 'silent'
  /** Appends take effect, but their connections are reset before the response. */
  | 'losing-answers';

interface StoredRecord {
  key: string;
  value: Buffer;
}

interface Topic {
  records: StoredRecord[];
  /** Offset of the first retained record. */
  first: number;
  waitingReaders: Set<() => void>;
}

/** A running store. */
export interface StoreStandIn {
  port: number;
  /** Writes a record as the operator or a server does; an undefined value deletes the key. */
  put(topic: string, key: string, value: unknown): void;
  /** Returns the keys of a topic that have a value. */
  keys(topic: string): string[];
  setMode(mode: StoreMode): void;
  /** Makes all open connections silent for good, without closing them; new connections work. */
  silenceConnections(): void;
  /**
   * Makes reads of earlier offsets fail, as compaction does; the latest values remain available.
   */
  compact(): void;
  /** Saves the current end of each topic as the backup. */
  takeBackup(): void;
  /**
   * Restores the last backup: later records are lost, and their offsets are reused in a new
   * generation.
   */
  restoreBackup(): void;
  /** Number of calls received. */
  calls(): number;
  close(): Promise<void>;
}

/** Size of the length prefix of an encoded record. */
const LENGTH_BYTES = 4;
const GENERATION_HEADER = 'Store-Era';
/** Maximum number of items in one response with latest values. */
const PAGE_SIZE = 500;

const encodeRecord = ({ key, value }: StoredRecord): Buffer => {
  const name = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_BYTES + 1);
  header.writeUInt32BE(1 + name.length + value.length);
  header.writeUInt8(name.length, LENGTH_BYTES);
  return Buffer.concat([header, name, value]);
};

const parseAppend = (body: Buffer): StoredRecord[] => {
  const records: StoredRecord[] = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const start = at + LENGTH_BYTES;
    const keyEnd = start + 1 + (body[start] ?? 0);
    const end = start + length;
    records.push({
      key: body.toString('utf8', start + 1, keyEnd),
      value: body.subarray(keyEnd, end),
    });
    at = end;
  }
  return records;
};

const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** Starts a store on the loopback address. */
export const startStoreStandIn = async (): Promise<StoreStandIn> => {
  const topics = new Map<string, Topic>();
  let mode: StoreMode = 'up';
  let calls = 0;
  const sockets = new Set<Socket>();
  const silentSockets = new WeakSet<Socket>();
  let generation = 1;
  let backup = new Map<string, number>();

  const topicOf = (name: string): Topic => {
    const topic = topics.get(name) ?? { records: [], first: 0, waitingReaders: new Set() };
    topics.set(name, topic);
    return topic;
  };

  const append = (name: string, records: StoredRecord[]): number => {
    const topic = topicOf(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    topic.waitingReaders.forEach((wake) => wake());
    return offset;
  };

  const awaitRecord = (topic: Topic, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const finish = (): void => {
        topic.waitingReaders.delete(finish);
        resolve();
      };
      topic.waitingReaders.add(finish);
      setTimeout(finish, waitMs);
    });

  const serveRead = async (query: URLSearchParams, res: ServerResponse): Promise<void> => {
    const topic = topicOf(query.get('topic') ?? '');
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from >= topic.records.length && waitMs > 0) await awaitRecord(topic, waitMs);
    if (res.socket && silentSockets.has(res.socket)) return;
    if (from < topic.first || from > topic.records.length) {
      res.writeHead(410).end(JSON.stringify({ first: topic.first }));
      return;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    res.writeHead(200).end(Buffer.concat([header, ...topic.records.slice(from).map(encodeRecord)]));
  };

  const serveLatest = (query: URLSearchParams, res: ServerResponse): void => {
    const { records } = topicOf(query.get('topic') ?? '');
    const byKey = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
    const after = query.get('after') ?? '';
    const current = [...byKey.values()]
      .filter(({ key, value }) => value.length > 0 && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = current
      .slice(0, PAGE_SIZE)
      .map((item) => ({ ...item, value: item.value.toString('base64') }));
    const page = { items, has_more: current.length > PAGE_SIZE, end: records.length };
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(page));
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    calls += 1;
    const url = new URL(req.url ?? '/', 'http://store');
    const body = await readBody(req);
    res.setHeader(GENERATION_HEADER, generation);
    if (mode === 'silent' || silentSockets.has(req.socket)) return;
    if (mode === 'busy') {
      res.writeHead(503).end();
      return;
    }
    if (url.pathname === '/plantaindrum/log-append') {
      const offset = append(url.searchParams.get('topic') ?? '', parseAppend(body));
      if (mode === 'losing-answers') res.socket?.resetAndDestroy();
      else res.writeHead(200).end(JSON.stringify({ offset, end: offset + 1 }));
      return;
    }
    if (url.pathname === '/plantaindrum/log-read') await serveRead(url.searchParams, res);
    else if (url.pathname === '/plantaindrum/log-newest') serveLatest(url.searchParams, res);
    else res.writeHead(404).end();
  };

  const server: Server = createServer((req, res) => {
    void serve(req, res);
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    port: (server.address() as AddressInfo).port,
    put: (name, key, value) => {
      const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
      append(name, [{ key, value: bytes }]);
    },
    keys: (name) => {
      const values = new Map(topicOf(name).records.map(({ key, value }) => [key, value.length]));
      return [...values].filter(([, length]) => length > 0).map(([key]) => key);
    },
    setMode: (next) => {
      mode = next;
    },
    silenceConnections: () => sockets.forEach((socket) => silentSockets.add(socket)),
    compact: () => {
      topics.forEach((topic) => {
        Object.assign(topic, { first: topic.records.length });
      });
    },
    takeBackup: () => {
      backup = new Map([...topics].map(([name, { records }]) => [name, records.length]));
    },
    restoreBackup: () => {
      generation += 1;
      topics.forEach((topic, name) => {
        topic.records.splice(backup.get(name) ?? 0);
        Object.assign(topic, { first: Math.min(topic.first, topic.records.length) });
        topic.waitingReaders.forEach((wake) => wake());
      });
    },
    calls: () => calls,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
