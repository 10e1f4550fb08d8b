// Stand-in of the platform's store: the log with keyed topics, as PROTOCOL.md describes it.

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_ITEMS = 500;
const MAX_WAIT_MS = 30_000;
const ANSWER_MS = 4;

const encodeRecord = ({ key, value }) => {
  const name = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, 4);
  return Buffer.concat([head, name, value]);
};

const decodeRecords = (body) => {
  const records = [];
  for (let at = 0; at + 5 <= body.length;) {
    const length = body.readUInt32BE(at);
    const keyEnd = at + 5 + body[at + 4];
    const end = at + 4 + length;
    records.push({
      key: body.toString('utf8', at + 5, keyEnd),
      value: Buffer.from(body.subarray(keyEnd, end)),
    });
    at = end;
  }
  return records;
};

/** Starts the store; `put` writes as the operator and the servers do, and returns the time of the ack. */
export const startStore = async (host) => {
  const topics = new Map();
  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, { records: [], waiting: new Set() });
    return topics.get(name);
  };

  const append = (name, records) => {
    const topic = topicOf(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    [...topic.waiting].forEach((wake) => wake());
    return { offset, end: topic.records.length };
  };

  const waitForRecord = (topic, ms) =>
    new Promise((resolve) => {
      const wake = () => {
        topic.waiting.delete(wake);
        resolve();
      };
      topic.waiting.add(wake);
      setTimeout(wake, Math.min(ms, MAX_WAIT_MS));
    });

  const serveRead = async (query, res) => {
    const topic = topicOf(query.get('topic'));
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from >= topic.records.length && waitMs > 0) await waitForRecord(topic, waitMs);
    if (from < 0 || from > topic.records.length) {
      res.writeHead(410).end(JSON.stringify({ first: 0 }));
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    res.writeHead(200).end(Buffer.concat([head, ...topic.records.slice(from).map(encodeRecord)]));
  };

  const serveNewest = (query, res) => {
    const { records } = topicOf(query.get('topic'));
    const after = query.get('after') ?? '';
    const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
    const present = [...newest.values()]
      .filter(({ key, value }) => value.length > 0 && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = present
      .slice(0, PAGE_ITEMS)
      .map((item) => ({ ...item, value: item.value.toString('base64') }));
    const page = { items, has_more: present.length > items.length, end: records.length };
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(page));
  };

  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      setTimeout(() => {
        const url = new URL(req.url, 'http://store');
        const query = url.searchParams;
        if (url.pathname === '/plantaindrum/log-read') void serveRead(query, res);
        else if (url.pathname === '/plantaindrum/log-newest') serveNewest(query, res);
        else if (url.pathname === '/plantaindrum/log-append') {
          const result = append(query.get('topic'), decodeRecords(Buffer.concat(chunks)));
          res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(result));
        } else res.writeHead(404).end();
      }, ANSWER_MS);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    put: (topic, key, value) => {
      const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
      append(topic, [{ key, value: bytes }]);
      return performance.now();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
