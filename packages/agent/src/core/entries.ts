/** The links of entries: at most one for each entry instance, and its frames to the attempts. */

import type { Logger, Metrics } from '@plantaindrum/common';
import type { FrameHandler, Link, PeerFrame } from '@plantaindrum/link';
import { parseAttemptId } from '@plantaindrum/requests';
import type { AttemptManager } from './attempts/types.js';

/** The entries that are linked to this agent. */
export interface Entries {
  /** Takes each new link of an entry; the result takes its frames. */
  onLink(link: Link): FrameHandler;
  /** Tells every entry that this agent takes no new work from now on. */
  announceLeaving(): void;
  count(): number;
}

/** What the entries' links need. */
export interface EntriesOptions {
  attemptManager: AttemptManager;
  isLeaving: () => boolean;
  metrics: Metrics;
  log: Logger;
}

/** Creates an empty set of entries. */
export const createEntries = (options: EntriesOptions): Entries => {
  const { attemptManager, metrics, log } = options;
  const links = new Map<string, Link>();

  /** An id of another entry's instance can only be a fault: its answer would go astray. */
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
    log.info(`entry ${link.peer.node} is gone: ${reason}`);
    attemptManager.linkLost(link);
  };

  return {
    onLink: (link) => {
      const { instance, node } = link.peer;
      // A dispatch that waits on the older link would come after the query on the newer one.
      links.get(instance)?.close();
      links.set(instance, link);
      log.info(`entry ${node} is linked`);
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
