import type { Frame, Link, LinkCloseReason } from '@plantaindrum/link';

/** A link without a socket. */
export interface FakeLink {
  link: Link;
  /** Frames sent, in order. */
  sent: Frame[];
  /** Resolves with the first frame of the kind, waiting for it if necessary. */
  waitForSent(kind: Frame['t']): Promise<Frame>;
  /** Closes the link as its peer would; resolves when the listeners of `closed` have run. */
  closeByPeer(): Promise<void>;
}

/** Creates an open link to an agent of the given instance. */
export const createFakeLink = (instance: string): FakeLink => {
  const sent: Frame[] = [];
  const sendWaiters = new Set<() => void>();
  let open = true;
  let resolveClosed: (reason: LinkCloseReason) => void = () => {};
  const closed = new Promise<LinkCloseReason>((resolve) => {
    resolveClosed = resolve;
  });

  const nextSend = (): Promise<void> =>
    new Promise((resolve) => {
      sendWaiters.add(resolve);
    });

  const link: Link = {
    peer: {
      t: 'hello',
      v: 1,
      role: 'agent',
      node: 'agent',
      instance,
      dataCentre: 'kent',
      region: 'northwest',
      intentOffset: -1,
    },
    send: (frame) => {
      if (!open) return false;
      sent.push(frame);
      sendWaiters.forEach((resolve) => resolve());
      sendWaiters.clear();
      return true;
    },
    drained: async () => {},
    call: async () => ({ outcome: 'lost' }),
    close: () => {},
    closed,
  };

  return {
    link,
    sent,
    waitForSent: async (kind) => {
      for (;;) {
        const found = sent.find((frame) => frame.t === kind);
        if (found) return found;
        await nextSend();
      }
    },
    closeByPeer: async () => {
      open = false;
      resolveClosed('closed-by-peer');
      await closed;
      // All listeners of `closed` run before the next iteration of the event loop.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
  };
};
