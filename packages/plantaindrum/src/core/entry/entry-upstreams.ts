/** The upstreams of this entry: VM list, links to agents, and routing. */

import type { Logger } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { IntentReader } from '@plantaindrum/intent';
import type { Link } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import { createVmListClient } from '@plantaindrum/service-clients';
import type { EntryRouter } from '../routing/entry-router.js';
import { createEntryRouter } from '../routing/entry-router.js';
import type { UpstreamDirectory } from '../upstreams/directory.js';
import { createUpstreamDirectory } from '../upstreams/directory.js';
import { SILENCE_CHECK_INTERVAL_MS } from '../upstreams/upstream.js';
import type { EntryLinksOptions } from './links.js';
import { createConnectAgent } from './links.js';

/** Upstreams of an entry with their router. */
export interface EntryUpstreams {
  router: EntryRouter;
  directory: UpstreamDirectory;
  /** The open link to a VM, if there is one. */
  linkTo(vm: Vm): Link | undefined;
  /** Resolves after the first successful read of the VM list; polls it from then on. */
  start(): Promise<void>;
  /** Resolves when every upstream that is not leaving is linked, or after a timeout. */
  waitForInitialLinks(): Promise<void>;
  close(): Promise<void>;
}

const LIST_POLL_INTERVAL_MS = 1_000;
const HEALTH_REVIEW_INTERVAL_MS = 1_000;
const INITIAL_LIST_RETRY_DELAY_MS = 250;
const INITIAL_LINKS_TIMEOUT_MS = 2_000;
const LINK_POLL_MS = 25;

/** Creates the upstreams of an entry; nothing is read or connected before `start`. */
export const createEntryUpstreams = (
  links: EntryLinksOptions,
  intent: Pick<IntentReader, 'current' | 'onChange'>,
  log: Logger,
): EntryUpstreams => {
  const { settings, clock, random, metrics } = links;
  const { node, platform } = settings;
  const list = createVmListClient({ url: platform.vmListUrl, client: node.name });
  let directory: UpstreamDirectory | undefined;
  let stopped = false;

  const router = createEntryRouter({
    self: node,
    upstreams: () => directory?.upstreams() ?? [],
    document: () => intent.current().document,
    clock,
    random,
    metrics,
    log: log.child('routing'),
  });
  directory = createUpstreamDirectory({
    list,
    connect: createConnectAgent(links),
    applyVmList: router.applyVmList,
    createEventHandlers: router.createEventHandlers,
    clock,
    random,
    metrics,
    log: log.child('upstreams'),
    intervalMs: LIST_POLL_INTERVAL_MS,
  });
  const upstreamDirectory = directory;
  intent.onChange(router.handleIntentChange);

  const runPeriodically = async (intervalMs: number, fn: () => void): Promise<void> => {
    while (!stopped) {
      await sleep(clock, intervalMs);
      fn();
    }
  };

  /**
   * Retries until the VM list has been read. Without it an entry knows no upstream; were it ready,
   * it would attract callers that other entries could serve, and refuse them all.
   */
  const readInitialList = async (): Promise<void> => {
    while (!(await upstreamDirectory.refresh())) await sleep(clock, INITIAL_LIST_RETRY_DELAY_MS);
  };

  const hasMissingLink = (): boolean =>
    upstreamDirectory.upstreams().some((upstream) => !upstream.link() && !upstream.leaving());

  return {
    router,
    directory: upstreamDirectory,
    linkTo: (vm) =>
      upstreamDirectory
        .upstreams()
        .find((upstream) => upstream.vm().name === vm.name)
        ?.link(),
    start: async () => {
      await readInitialList();
      void upstreamDirectory.run();
      void runPeriodically(HEALTH_REVIEW_INTERVAL_MS, router.reviewHealth);
      void runPeriodically(SILENCE_CHECK_INTERVAL_MS, () =>
        upstreamDirectory.upstreams().forEach((upstream) => upstream.checkSilence()),
      );
    },
    waitForInitialLinks: async () => {
      const deadline = clock.monotonic() + INITIAL_LINKS_TIMEOUT_MS;
      while (hasMissingLink() && clock.monotonic() < deadline) await sleep(clock, LINK_POLL_MS);
    },
    close: async () => {
      stopped = true;
      await upstreamDirectory.close();
      await list.close();
    },
  };
};
