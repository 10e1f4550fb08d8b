/** What tokens cost on a link, the part of the data path that is this project's own protocol. */

import { createMetrics, silentLogger, systemClock, systemRandom } from '@plantaindrum/common';
import {
  createLinkClient,
  createLinkServer,
  defaultBackoff,
  defaultLinkLimits,
} from '@plantaindrum/link';
import type { Link, LinkOptions, PeerFrame } from '@plantaindrum/link';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, cpuMicros, linkBytesSent } from './measure.js';

/** One server-sent event with a token, as engines write it. */
const EVENT = Buffer.from(
  'id: 17\ndata: {"id":"cmpl-1","object":"text_completion","choices":[{"index":0,"text":" lot"}]}\n\n',
);
const MICROS_PER_MS = 1_000;

const optionsOf = (
  role: 'entry' | 'agent',
  metrics: LinkOptions['metrics'],
  onLink: LinkOptions['onLink'],
): LinkOptions => ({
  identity: { role, node: role, instance: role, dataCentre: 'kent', region: 'northwest' },
  intentOffset: () => 0,
  limits: defaultLinkLimits,
  handlers: {},
  onLink,
  clock: systemClock,
  metrics,
  log: silentLogger,
});

const sendTokens = async (link: Link, tokens: number): Promise<void> => {
  for (let n = 0; n < tokens; n += 1) {
    link.send({ t: 'chunk', id: 'entry:1', offset: n * EVENT.length, data: EVENT });
    await link.drained();
  }
};

const measure = async (tokens: number) => {
  let agentLink = (_link: Link): void => {};
  const linked = new Promise<Link>((resolve) => {
    agentLink = resolve;
  });
  let received = 0;
  let allReceived = (): void => {};
  const done = new Promise<void>((resolve) => {
    allReceived = resolve;
  });
  const take = (frame: PeerFrame): void => {
    if (frame.t === 'chunk') received += 1;
    if (received === tokens) allReceived();
  };

  const metrics = createMetrics();
  const server = await createLinkServer({
    ...optionsOf('agent', metrics, (link) => {
      agentLink(link);
      return () => {};
    }),
    listen: { host: '127.0.0.1', port: 0 },
  });
  const client = createLinkClient({
    ...optionsOf('entry', createMetrics(), () => take),
    connect: server.address,
    backoff: defaultBackoff,
    random: systemRandom,
  });
  const link = await linked;
  const before = cpuMicros();
  await sendTokens(link, tokens);
  await done;
  const cpuMs = (cpuMicros() - before) / MICROS_PER_MS;
  const bytes = linkBytesSent(metrics, 'data');
  await client.close();
  await server.close();
  return { cpuMs, bytes };
};

/** Lines over tokens, each in a frame of its own; both ends of the link together. */
export const tokenLines = async (counts: number[]): Promise<Record<string, Line>> => {
  const found = await atSizes(counts, measure);
  const line = (unit: string, key: 'cpuMs' | 'bytes'): Line =>
    fitLine(
      'tokens',
      unit,
      found.map((point) => ({ n: point.n, y: point[key] })),
    );
  return {
    'token-cpu': line('ms of processor time, both ends of the link', 'cpuMs'),
    'token-bytes': line('bytes on the link', 'bytes'),
  };
};
