/** Links of entries: keeps at most one per entry instance and routes its frames to the attempts. */

import type { Logger, Metrics } from '@plantaindrum/common';
import type { FrameHandler, Link, PeerFrame } from '@plantaindrum/link';
import { parseAttemptId } from '@plantaindrum/requests';
import type { AttemptManager } from './attempts/types.js';

/** The entries that are connected to this agent. */
export interface Entries {
  /** Registers a new link of an entry; returns the handler of its frames. */
  onLink(link: Link): FrameHandler;
  /** Announces to every entry that this agent accepts no new requests any more. */
  announceLeaving(): void;
  count(): number;
}

/** Options of `createEntries`. */
export interface EntriesOptions {
  attemptManager: AttemptManager;
  isLeaving: () => boolean;
  metrics: Metrics;
  log: Logger;
}

/** Creates an empty registry of entries. */
export const createEntries = (options: EntriesOptions): Entries => {
  const { attemptManager, metrics, log } = options;
  const links = new Map<string, Link>();

  /** An attempt id of another entry instance is a fault: the answer would go to the wrong entry. */
  const namesForeignAttempt = (frame: PeerFrame, link: Link): boolean =>
    'id' in frame && parseAttemptId(frame.id).instance !== link.peer.instance;

  const handleFrame = (frame: PeerFrame, link: Link): void => {
    if (namesForeignAttempt(frame, link)) {
      metrics.count('frames_refused', { reason: 'foreign-attempt' });
      link.close();
      return;
    }
    switch (frame.t) {
      case 'dispatch':
        attemptManager.dispatch(frame, link);
        break;
      case 'cancel':
        attemptManager.cancel(frame.id, link);
        break;
      case 'query':
        attemptManager.query(frame.id, { head: frame.headReceived, bytes: frame.received }, link);
        break;
      case 'credit':
        attemptManager.credit(frame.id, frame.bytes, link);
        break;
      case 'pong':
        break;
      default:
        metrics.count('frames_refused', { reason: 'unexpected' });
    }
  };

  const handleLinkClosed = (link: Link, reason: string): void => {
    if (links.get(link.peer.instance) === link) links.delete(link.peer.instance);
    log.info(`link of entry ${link.peer.node} closed: ${reason}`);
    attemptManager.linkLost(link);
  };

  return {
    onLink: (link) => {
      const { instance, node } = link.peer;
      // Closes the older link first: a dispatch pending on it would arrive after a query on the new one.
      links.get(instance)?.close();
      links.set(instance, link);
      log.info(`entry ${node} connected`);
      void link.closed.then((reason) => handleLinkClosed(link, reason));
      if (options.isLeaving()) link.send({ t: 'leaving' });
      return (frame) => handleFrame(frame, link);
    },
    announceLeaving: () => {
      links.forEach((link) => link.send({ t: 'leaving' }));
    },
    count: () => links.size,
  };
};
