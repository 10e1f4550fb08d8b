/** One upstream: the link to its agent, its last known load and its open attempts. */

import type { Metrics } from '@plantaindrum/common';
import type { AttemptId, FrameHandler, Link, Load, PeerFrame } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import type { AttemptUpstream, OpenAttempt } from '../attempts/types.js';

/** Cancels kept for an agent until it reconnects; further ones are dropped. */
const MAX_PENDING_CANCELS = 1_024;

/** Time between two checks for silent upstreams. */
export const SILENCE_CHECK_INTERVAL_MS = 200;

/**
 * Consecutive checks without any frame after which an agent counts as silent. Pongs arrive every
 * 500 ms, so up to three are normal. Checks are counted instead of time: an entry that was itself
 * frozen has read no frames for a while and must not count its upstreams as silent.
 */
const SILENT_AFTER_CHECKS = 5;

const noHandlers: UpstreamEventHandlers = { load: () => {}, leaving: () => {}, linked: () => {} };

/** An upstream with the link to its agent. */
export interface Upstream extends AttemptUpstream {
  /** The VM as of the latest VM list. */
  vm(): Vm;
  setVm(vm: Vm): void;
  link(): Link | undefined;
  /** Number of open attempts of this entry at the upstream. */
  outstanding(): number;
  /** Whether the agent or the VM list says that the upstream takes no new requests. */
  leaving(): boolean;
  /** Detects a silent agent; to be called every `SILENCE_CHECK_INTERVAL_MS`. */
  checkSilence(): void;
  /** Attaches a new link; the result handles its frames. */
  onLink(link: Link): FrameHandler;
}

/** Handlers by which routing follows the link of an upstream. */
export interface UpstreamEventHandlers {
  load(load: Load): void;
  leaving(): void;
  linked(linked: boolean): void;
}

/** Creates an upstream without a link. */
export const createUpstream = (
  initialVm: Vm,
  metrics: Metrics,
  handlers: UpstreamEventHandlers = noHandlers,
): Upstream => {
  let vm = initialVm;
  let link: Link | undefined;
  let load: Load | undefined;
  let agentLeaving = false;
  let lastInstance: string | undefined;
  let quietChecks = 0;
  let silent = false;
  const attempts = new Map<AttemptId, OpenAttempt>();
  const pendingCancels = new Map<AttemptId, string>();

  const applyLoad = (next: Load): void => {
    load = next;
    agentLeaving = next.leaving;
    handlers.load(next);
  };

  const resetSilence = (): void => {
    quietChecks = 0;
    if (!silent) return;
    silent = false;
    handlers.linked(true);
  };

  const checkSilence = (): void => {
    if (!link || silent) return;
    quietChecks += 1;
    if (quietChecks < SILENT_AFTER_CHECKS) return;
    silent = true;
    metrics.count('upstream_silent');
    handlers.linked(false);
    attempts.forEach((attempt) => attempt.push({ t: 'silent' }));
  };

  const handleFrame = (frame: PeerFrame): void => {
    resetSilence();
    if ('load' in frame && frame.load) applyLoad(frame.load);
    if (frame.t === 'leaving') {
      agentLeaving = true;
      handlers.leaving();
      return;
    }
    if (!('id' in frame) || frame.t === 'dispatch') return;
    if (frame.t === 'cancel' || frame.t === 'query' || frame.t === 'credit') return;
    const attempt = attempts.get(frame.id);
    if (attempt) attempt.push(frame);
    // Ids are never reused, so a late frame can belong to no other attempt and is dropped.
    else metrics.count('frames_for_closed_attempt', { frame: frame.t });
  };

  const handleLinkClosed = (closedLink: Link): void => {
    if (link !== closedLink) return;
    link = undefined;
    handlers.linked(false);
    attempts.forEach((attempt) => attempt.push({ t: 'link-lost' }));
  };

  const sendPendingCancels = (peer: Link): void => {
    pendingCancels.forEach((instance, id) => {
      if (instance === peer.peer.instance) peer.send({ t: 'cancel', id });
    });
    pendingCancels.clear();
  };

  const onLink = (next: Link): FrameHandler => {
    link = next;
    const { instance } = next.peer;
    if (instance !== lastInstance) agentLeaving = false;
    lastInstance = instance;
    quietChecks = 0;
    silent = false;
    handlers.linked(true);
    void next.closed.then(() => handleLinkClosed(next));
    sendPendingCancels(next);
    attempts.forEach((attempt) => attempt.push({ t: 'link-up', instance }));
    return handleFrame;
  };

  const cancel = (id: AttemptId, instance: string): void => {
    if (link?.peer.instance === instance && link.send({ t: 'cancel', id })) return;
    if (pendingCancels.size < MAX_PENDING_CANCELS) pendingCancels.set(id, instance);
    else metrics.count('cancels_dropped');
  };

  return {
    vm: () => vm,
    setVm: (next) => {
      vm = next;
    },
    link: () => link,
    instance: () => link?.peer.instance,
    load: () => load,
    outstanding: () => attempts.size,
    leaving: () => agentLeaving || vm.state === 'leaving',
    checkSilence,
    onLink,
    open: (id, attempt) => {
      attempts.set(id, attempt);
      return () => attempts.delete(id);
    },
    dispatch: async (frame) => {
      const target = link;
      if (!target) return false;
      await target.drained();
      const isSent = target.send(frame);
      if (isSent) metrics.count('dispatches', { upstream: vm.name });
      return isSent;
    },
    query: (id, headReceived, received) =>
      link?.send({ t: 'query', id, headReceived, received }) ?? false,
    credit: (id, bytes) => {
      link?.send({ t: 'credit', id, bytes });
    },
    cancel,
  };
};
