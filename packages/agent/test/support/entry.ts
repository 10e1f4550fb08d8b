import { createMetrics, silentLogger, systemClock } from '@plantaindrum/common';
import type { AttemptId, Dispatch, Link, PeerFrame } from '@plantaindrum/link';
import { createLinkClient, defaultBackoff, defaultLinkLimits } from '@plantaindrum/link';
import { createMailbox } from './mailbox.js';

/** Connects as an entry that the test controls; by default it grants credit for all bytes it receives. */
export const createFakeEntry = (
  address: string,
  instance = 'e',
  grantsCredit = true,
  dataCentre = 'kent',
) => {
  const links = createMailbox<Link>();
  const frames = createMailbox<PeerFrame>();
  const [host = '', port] = address.split(':');
  const client = createLinkClient({
    connect: { host, port: Number(port) },
    identity: { role: 'entry', node: 'kent-e1', instance, dataCentre, region: 'nw' },
    intentOffset: () => -1,
    limits: defaultLinkLimits,
    handlers: {},
    onLink: (link) => {
      links.put(link);
      return (frame) => {
        if (frame.t === 'chunk' && grantsCredit) {
          link.send({ t: 'credit', id: frame.id, bytes: frame.data.length });
        }
        if (frame.t !== 'pong') frames.put(frame);
      };
    },
    backoff: defaultBackoff,
    random: () => 0,
    clock: systemClock,
    metrics: createMetrics(),
    log: silentLogger,
  });

  /** Receives frames up to and including the first of this type. */
  const until = async (t: PeerFrame['t']): Promise<PeerFrame[]> => {
    const received: PeerFrame[] = [];
    for (;;) {
      const frame = await frames.take();
      received.push(frame);
      if (frame.t === t) return received;
    }
  };

  return { nextLink: links.take, next: frames.take, until, close: client.close };
};

/** The entry of a test. */
export type FakeEntry = ReturnType<typeof createFakeEntry>;

/** Creates a dispatch of a small completion. */
export const dispatchOf = (id: AttemptId, overrides: Partial<Dispatch> = {}): Dispatch => ({
  t: 'dispatch',
  id,
  organisation: 'dealer-a',
  class: 'live-sale',
  priority: 'live',
  mayNotRepeat: false,
  budgetMs: 60_000,
  method: 'POST',
  path: '/v1/completions',
  headers: { 'content-type': 'application/json', connection: 'close' },
  body: Buffer.from('{"prompt":"hello"}'),
  ...overrides,
});

/** Concatenates the data of all chunks among the frames, as text. */
export const textOf = (frames: PeerFrame[]): string =>
  frames.map((frame) => (frame.t === 'chunk' ? Buffer.from(frame.data).toString() : '')).join('');

/** Returns frames with their data as text and without the load, which depends on timing. */
export const readable = (frames: PeerFrame[]): unknown[] =>
  frames.map((frame) => {
    const { load, ...rest } = frame as PeerFrame & { load?: unknown };
    void load;
    return 'data' in rest ? { ...rest, data: Buffer.from(rest.data).toString() } : rest;
  });
