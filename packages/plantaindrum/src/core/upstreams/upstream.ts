/** One upstream as this entry sees it: its agent's link, its load, and the attempts open there. */

import type { Metrics } from '@plantaindrum/common';
import type { AttemptId, FrameHandler, Link, Load, PeerFrame } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import type { AttemptUpstream, OpenAttempt } from '../attempts/types.js';

const MAX_PENDING_CANCELS = 1_024;

/** Time between two looks at an upstream's silence, in milliseconds. */
export const SILENCE_CHECK_INTERVAL_MS = 200;

/**
 * Ticks without any frame after which an agent counts as silent. Pongs come every 500 ms, so three
 * are usual; ticks are counted and not time, because a process that was itself frozen has read
 * nothing for long and must not blame its upstreams.
 */
const MAX_QUIET_CHECKS = 5;

const noEvents: UpstreamEventHandlers = { load: () => {}, leaving: () => {}, linked: () => {} };

/** An upstream with its agent's link. */
export interface Upstream extends AttemptUpstream {
  /** The VM as the platform's list last showed it. */
  vm(): Vm;
  setVm(vm: Vm): void;
  link(): Link | undefined;
  /** Attempts of this entry that are open there. */
  outstanding(): number;
  /** The agent or the list says that no new work may go there. */
  leaving(): boolean;
  /** To be called every `SILENCE_TICK_MS`: finds out whether the agent still says anything. */
  checkSilence(): void;
  /** Takes each new link; the result takes its frames. */
  onLink(link: Link): FrameHandler;
}

/** What routing learns from an upstream's link. */
export interface UpstreamEventHandlers {
  load(load: Load): void;
  leaving(): void;
  linked(linked: boolean): void;
}

/** Creates an upstream without a link. */
export const createUpstream = (
  initialVm: Vm,
  metrics: Metrics,
  events: UpstreamEventHandlers = noEvents,
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
    events.load(next);
  };

  const resetSilence = (): void => {
    quietChecks = 0;
    if (!silent) return;
    silent = false;
    events.linked(true);
  };

  const checkSilence = (): void => {
    if (!link || silent) return;
    quietChecks += 1;
    if (quietChecks < MAX_QUIET_CHECKS) return;
    silent = true;
    metrics.count('upstream_silent');
    events.linked(false);
    attempts.forEach((attempt) => attempt.push({ t: 'silent' }));
  };

  const handleFrame = (frame: PeerFrame): void => {
    resetSilence();
    if ('load' in frame && frame.load) applyLoad(frame.load);
    if (frame.t === 'leaving') {
      agentLeaving = true;
      events.leaving();
      return;
    }
    if (!('id' in frame) || frame.t === 'dispatch') return;
    if (frame.t === 'cancel' || frame.t === 'query' || frame.t === 'credit') return;
    const attempt = attempts.get(frame.id);
    if (attempt) attempt.push(frame);
    // A late frame must not reach another request: ids are never used twice, so it ends here.
    else metrics.count('frames_for_closed_attempt', { frame: frame.t });
  };

  const handleLinkClosed = (closedLink: Link): void => {
    if (link !== closedLink) return;
    link = undefined;
    events.linked(false);
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
    events.linked(true);
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
