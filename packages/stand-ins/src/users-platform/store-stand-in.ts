/** A small stand-in of the users' store: keyed topics of its log, with the outages that tests switch. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** How the store treats calls. */
export type StoreMode =
  | 'up'
  /** Every call gets 503. */
  | 'busy'
  /** Connections are accepted and nothing is answered. */
  | 'silent'
  /** Calls are carried out, and their connections are reset instead of an answer. */
  | 'losing-answers';

interface StoredRecord {
  key: string;
  value: Buffer;
}

interface Topic {
  records: StoredRecord[];
  /** Offset of the first record that is kept. */
  first: number;
  waiting: Set<() => void>;
}

/** A running store. */
export interface StoreStandIn {
  port: number;
  /** Writes as the operator or a server does; an empty value drops the key. */
  put(topic: string, key: string, value: unknown): void;
  /** Keys of a topic that have a value. */
  keys(topic: string): string[];
  setMode(mode: StoreMode): void;
  /** Deletes all records but the newest of each key. */
  forgetHistory(): void;
  /** Remembers what is stored now, as a backup does. */
  takeBackup(): void;
  /** Comes back from the last backup: records since then are gone, and their offsets are given out again. */
  restoreBackup(): void;
  calls(): number;
  close(): Promise<void>;
}

const LENGTH_BYTES = 4;
const GENERATION_FIELD = 'Store-Era';
const PAGE = 500;

const keyedRecord = ({ key, value }: StoredRecord): Buffer => {
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

/** Starts a store on loopback. */
export const startStoreStandIn = async (): Promise<StoreStandIn> => {
  const topics = new Map<string, Topic>();
  let mode: StoreMode = 'up';
  let calls = 0;
  let generation = 1;
  let backup = new Map<string, number>();

  const topicOf = (name: string): Topic => {
    const topic = topics.get(name) ?? { records: [], first: 0, waiting: new Set() };
    topics.set(name, topic);
    return topic;
  };

  const append = (name: string, records: StoredRecord[]): number => {
    const topic = topicOf(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    topic.waiting.forEach((wake) => wake());
    return offset;
  };

  const untilRecord = (topic: Topic, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const done = (): void => {
        topic.waiting.delete(done);
        resolve();
      };
      topic.waiting.add(done);
      setTimeout(done, waitMs);
    });

  const read = async (query: URLSearchParams, res: ServerResponse): Promise<void> => {
    const topic = topicOf(query.get('topic') ?? '');
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from >= topic.records.length && waitMs > 0) await untilRecord(topic, waitMs);
    if (from < topic.first || from > topic.records.length) {
      res.writeHead(410).end(JSON.stringify({ first: topic.first }));
      return;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    res.writeHead(200).end(Buffer.concat([header, ...topic.records.slice(from).map(keyedRecord)]));
  };

  const newest = (query: URLSearchParams, res: ServerResponse): void => {
    const { records } = topicOf(query.get('topic') ?? '');
    const byKey = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
    const after = query.get('after') ?? '';
    const live = [...byKey.values()]
      .filter(({ key, value }) => value.length > 0 && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = live
      .slice(0, PAGE)
      .map((item) => ({ ...item, value: item.value.toString('base64') }));
    const page = { items, has_more: live.length > PAGE, end: records.length };
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(page));
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    calls += 1;
    const url = new URL(req.url ?? '/', 'http://store');
    const body = await readBody(req);
    res.setHeader(GENERATION_FIELD, generation);
    if (mode === 'silent') return;
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
    if (url.pathname === '/plantaindrum/log-read') await read(url.searchParams, res);
    else if (url.pathname === '/plantaindrum/log-newest') newest(url.searchParams, res);
    else res.writeHead(404).end();
  };

  const server: Server = createServer((req, res) => {
    void serve(req, res);
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
    forgetHistory: () => {
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
        topic.waiting.forEach((wake) => wake());
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
