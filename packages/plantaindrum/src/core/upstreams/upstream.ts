/** One upstream as this entry sees it: its agent's link, its load, and the attempts open there. */

import type { Metrics } from '@plantaindrum/common';
import type { AttemptId, FrameHandler, Link, Load, PeerFrame } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import type { AttemptUpstream, OpenAttempt } from '../attempts/types.js';

const MOST_PENDING_CANCELS = 1_024;

/** Time between two looks at an upstream's silence, in milliseconds. */
export const SILENCE_TICK_MS = 200;

/**
 * Ticks without any frame after which an agent counts as silent. Pongs come every 500 ms, so three
 * are usual; ticks are counted and not time, because a process that was itself frozen has read
 * nothing for long and must not blame its upstreams.
 */
const SILENT_TICKS = 5;

const noEvents: UpstreamEvents = { load: () => {}, leaving: () => {}, linked: () => {} };

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
  tick(): void;
  /** Takes each new link; the result takes its frames. */
  onLink(link: Link): FrameHandler;
}

/** What routing learns from an upstream's link. */
export interface UpstreamEvents {
  load(load: Load): void;
  leaving(): void;
  linked(linked: boolean): void;
}

/** Creates an upstream without a link. */
export const createUpstream = (
  first: Vm,
  metrics: Metrics,
  events: UpstreamEvents = noEvents,
): Upstream => {
  let vm = first;
  let link: Link | undefined;
  let load: Load | undefined;
  let agentLeaving = false;
  let lastInstance: string | undefined;
  let quietTicks = 0;
  let silent = false;
  const attempts = new Map<AttemptId, OpenAttempt>();
  const pendingCancels = new Map<AttemptId, string>();

  const noteLoad = (next: Load): void => {
    load = next;
    agentLeaving = next.leaving;
    events.load(next);
  };

  const heard = (): void => {
    quietTicks = 0;
    if (!silent) return;
    silent = false;
    events.linked(true);
  };

  const tick = (): void => {
    if (!link || silent) return;
    quietTicks += 1;
    if (quietTicks < SILENT_TICKS) return;
    silent = true;
    metrics.count('upstream_silent');
    events.linked(false);
    attempts.forEach((attempt) => attempt.push({ t: 'silent' }));
  };

  const deliver = (frame: PeerFrame): void => {
    heard();
    if ('load' in frame && frame.load) noteLoad(frame.load);
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

  const onDown = (ended: Link): void => {
    if (link !== ended) return;
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
    quietTicks = 0;
    silent = false;
    events.linked(true);
    void next.closed.then(() => onDown(next));
    sendPendingCancels(next);
    attempts.forEach((attempt) => attempt.push({ t: 'link-up', instance }));
    return deliver;
  };

  const cancel = (id: AttemptId, instance: string): void => {
    if (link?.peer.instance === instance && link.send({ t: 'cancel', id })) return;
    if (pendingCancels.size < MOST_PENDING_CANCELS) pendingCancels.set(id, instance);
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
    tick,
    onLink,
    open: (id, attempt) => {
      attempts.set(id, attempt);
      return () => attempts.delete(id);
    },
    dispatch: async (frame) => {
      const chosen = link;
      if (!chosen) return false;
      await chosen.drained();
      const isSent = chosen.send(frame);
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
