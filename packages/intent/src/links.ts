/** Connects the intent reader to the links of its process. */

import type { FetchReply, IntentPeer } from './reader/peers.js';
import { FETCH_METHOD, fetchFullAnswer, parseFetchReply } from './reader/peers.js';
import type { IntentNode } from './reader/reader.js';

/** The part of a link that intent uses. */
export interface IntentLink {
  readonly peer: { node: string };
  call(
    method: string,
    args: unknown,
    timeoutMs: number,
  ): Promise<{ outcome: string; value?: unknown }>;
  readonly closed: Promise<unknown>;
}

/** The handlers and callbacks of an intent reader for the link options of its process. */
export interface IntentLinks {
  handlers: Record<string, (args: unknown) => Promise<FetchReply>>;
  intentOffset: () => number;
  /** To be called from `onLink`. */
  onLink(link: IntentLink): void;
  /** To be passed as `onPeerOffset`. */
  onPeerOffset(link: IntentLink, offset: number): void;
}

const FETCH_TIMEOUT_MS = 2_000;

const createPeer = (link: IntentLink): IntentPeer => ({
  name: link.peer.node,
  fetch: (after) =>
    fetchFullAnswer(async (args) => {
      const reply = await link.call(FETCH_METHOD, args, FETCH_TIMEOUT_MS);
      return reply.outcome === 'answered' ? parseFetchReply(reply.value) : undefined;
    }, after),
});

/** Creates the link handlers of a reader; a link's peer is removed when the link closes. */
export const createIntentLinks = (node: IntentNode): IntentLinks => {
  const peers = new WeakMap<IntentLink, IntentPeer>();

  const removePeerWhenClosed = async (link: IntentLink, peer: IntentPeer): Promise<void> => {
    await link.closed;
    node.removePeer(peer);
  };

  return {
    handlers: { [FETCH_METHOD]: async (args) => node.serveFetch(args) },
    intentOffset: () => node.current().offset,
    onLink: (link) => {
      const peer = createPeer(link);
      peers.set(link, peer);
      node.addPeer(peer);
      void removePeerWhenClosed(link, peer);
    },
    onPeerOffset: (link, offset) => {
      const peer = peers.get(link);
      if (peer) node.handlePeerOffset(peer, offset);
    },
  };
};
