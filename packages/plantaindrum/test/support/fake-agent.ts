import { createMetrics, silentLogger, systemClock } from '@plantaindrum/common';
import type { Dispatch, Link, Load, PeerFrame } from '@plantaindrum/link';
import { createLinkServer, defaultLinkLimits } from '@plantaindrum/link';

/** Load of an idle agent. */
export const idleLoad: Load = { queued: 0, running: 0, drainPerSecond: 0, leaving: false };

/** A link server that acts as an agent by the script of a test. */
export interface FakeAgent {
  address: string;
  /** Frames received, in order. */
  frames: PeerFrame[];
  /** The latest link. */
  link(): Link | undefined;
  /** Resolves with the next frame of a kind that no earlier call has returned. */
  next<T extends PeerFrame['t']>(kind: T): Promise<Extract<PeerFrame, { t: T }>>;
  close(): Promise<void>;
}

/** Sends a complete response. */
export const sendAnswer = (
  link: Link,
  { id }: Pick<Dispatch, 'id'>,
  text: string,
  contentType = 'application/json',
): void => {
  const data = Buffer.from(text);
  link.send({ t: 'started', id });
  link.send({ t: 'head', id, status: 200, headers: { 'content-type': contentType } });
  link.send({ t: 'chunk', id, offset: 0, data });
  link.send({ t: 'end', id, length: data.length, load: idleLoad });
};

/** Starts a fake agent; `script` is called with each frame. */
export const startFakeAgent = async (
  script: (frame: PeerFrame, link: Link) => void = () => {},
  options: { instance?: string; port?: number } = {},
): Promise<FakeAgent> => {
  const frames: PeerFrame[] = [];
  const consumed = new Set<PeerFrame>();
  const frameWaiters = new Set<() => void>();
  let latestLink: Link | undefined;

  const wakeAll = (): void => {
    frameWaiters.forEach((resolve) => resolve());
    frameWaiters.clear();
  };

  const nextFrame = (): Promise<void> =>
    new Promise((resolve) => {
      frameWaiters.add(resolve);
    });

  const server = await createLinkServer({
    listen: { host: '127.0.0.1', port: options.port ?? 0 },
    identity: {
      role: 'agent',
      node: 'agent',
      instance: options.instance ?? 'agent-1',
      dataCentre: 'kent',
      region: 'northwest',
    },
    intentOffset: () => -1,
    load: () => idleLoad,
    limits: defaultLinkLimits,
    handlers: {
      'node.status': async () => ({ inFlight: 0, intent: { offset: Number.MAX_SAFE_INTEGER } }),
    },
    onLink: (link) => {
      latestLink = link;
      return (frame) => {
        frames.push(frame);
        script(frame, link);
        wakeAll();
      };
    },
    clock: systemClock,
    metrics: createMetrics(),
    log: silentLogger,
  });

  const next: FakeAgent['next'] = async (kind) => {
    for (;;) {
      const found = frames.find((frame) => frame.t === kind && !consumed.has(frame));
      if (found) {
        consumed.add(found);
        return found as never;
      }
      await nextFrame();
    }
  };

  return {
    address: `${server.address.host}:${server.address.port}`,
    frames,
    link: () => latestLink,
    next,
    close: server.close,
  };
};
