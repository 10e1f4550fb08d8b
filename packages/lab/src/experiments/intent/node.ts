/** A process with an intent reader and its links, that reports when it saw each offset. */

import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  createLogger,
  createMetrics,
  silentLogger,
  systemClock,
  systemRandom,
} from '@plantaindrum/common';
import { createIntentReader, createIntentLinks } from '@plantaindrum/intent';
import type { IntentSubmission } from '@plantaindrum/intent';
import {
  createLinkClient,
  createLinkServer,
  defaultBackoff,
  defaultLinkLimits,
} from '@plantaindrum/link';
import { createLogClient } from '@plantaindrum/service-clients';
import type { Log } from '@plantaindrum/service-clients';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

/** What a node counted since its start. */
export interface NodeCounts {
  linkBytesSent: number;
  linkBytesReceived: number;
  logReads: number;
  /** Bytes of the records read; headers and empty answers are not in it. */
  logRecordBytes: number;
  fetches: number;
  fromPeers: number;
  cpuMs: number;
  rssMb: number;
}

const args = await yargs(hideBin(process.argv))
  .option('name', { type: 'string', demandOption: true })
  .option('log', { type: 'string', demandOption: true })
  .option('follow', { choices: ['log', 'peers'] as const, default: 'log' as const })
  .option('gaps', { type: 'boolean', default: true })
  .parse();

/** One clock for all processes of the machine, in milliseconds. */
const now = (): number => Number(process.hrtime.bigint()) / 1e6;

const metrics = createMetrics();
let logReads = 0;
let logRecordBytes = 0;

const counted = (log: Log): Log => ({
  ...log,
  read: async (...call) => {
    logReads += 1;
    const read = await log.read(...call);
    if (read.ok && read.value.length > 0) logRecordBytes += JSON.stringify(read.value).length;
    return read;
  },
});

const log = counted(createLogClient({ url: args.log, client: args.name }));
const shared = { clock: systemClock, random: systemRandom, metrics };
const reader = createIntentReader({
  ...shared,
  log,
  logger: silentLogger,
  follow: args.follow,
  detectGaps: args.gaps,
});
const links = createIntentLinks(reader);
const seenAt = new Map<number, number>();
let lastSeen = reader.current().offset;

reader.onChange(({ offset }) => {
  const at = now();
  for (let passed = lastSeen + 1; passed <= offset; passed += 1) seenAt.set(passed, at);
  lastSeen = offset;
});

const linkOptions = {
  ...shared,
  identity: {
    role: 'entry' as const,
    node: args.name,
    instance: args.name,
    dataCentre: 'kent',
    region: 'northwest',
  },
  intentOffset: links.intentOffset,
  onPeerOffset: links.onPeerOffset,
  limits: defaultLinkLimits,
  handlers: links.handlers,
  onLink: (link: Parameters<typeof links.onLink>[0]) => {
    links.onLink(link);
    return () => {};
  },
  log: createLogger(args.name, 1),
};

const server = await createLinkServer({ ...linkOptions, listen: { host: '127.0.0.1', port: 0 } });

const dial = (ports: number[]): void =>
  ports.forEach((port) => {
    createLinkClient({
      ...linkOptions,
      connect: { host: '127.0.0.1', port },
      backoff: defaultBackoff,
      random: systemRandom,
    });
  });

const counterOf = (name: string): number =>
  metrics
    .snapshot()
    .counters.filter((series) => series.name === name)
    .reduce((sum, series) => sum + series.value, 0);

const counts = (): NodeCounts => {
  const { user, system } = process.cpuUsage();
  return {
    linkBytesSent: counterOf('link_bytes_sent'),
    linkBytesReceived: counterOf('link_bytes_received'),
    logReads,
    logRecordBytes,
    fetches: counterOf('intent_fetch_sent'),
    fromPeers: counterOf('intent_records_from_peers'),
    cpuMs: (user + system) / 1_000,
    rssMb: process.memoryUsage().rss / 1_048_576,
  };
};

const bodyOf = async (req: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

const submit = async (req: IncomingMessage): Promise<unknown> => {
  const submission = (await bodyOf(req)) as IntentSubmission;
  const begunAt = now();
  const outcome = await reader.submit(submission);
  return { outcome, begunAt, endedAt: now() };
};

const answer = async (req: IncomingMessage): Promise<unknown> => {
  if (req.url === '/submit') return submit(req);
  if (req.url === '/counts') return counts();
  if (req.url === '/dial') {
    dial((await bodyOf(req)) as number[]);
    return {};
  }
  return { seen: Object.fromEntries(seenAt), freshness: reader.freshness() };
};

const control = createServer((req, res) => {
  void answer(req).then((value) => res.end(JSON.stringify(value)));
});
control.listen(0, '127.0.0.1', () => {
  const { port } = control.address() as AddressInfo;
  const ready = { ready: true, control: `http://127.0.0.1:${port}`, link: server.address.port };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
});
