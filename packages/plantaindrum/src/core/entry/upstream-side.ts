/** The upstreams of this entry: the VM list, the links to agents, and routing among them. */

import type { Logger } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { IntentReader } from '@plantaindrum/intent';
import type { Link } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import { createVmListClient } from '@plantaindrum/service-clients';
import type { EntryRouter } from '../routing/entry-router.js';
import { createEntryRouter } from '../routing/entry-router.js';
import type { Directory } from '../upstreams/directory.js';
import { createDirectory } from '../upstreams/directory.js';
import { SILENCE_TICK_MS } from '../upstreams/upstream.js';
import type { EntryLinksOptions } from './links.js';
import { createConnectAgent } from './links.js';

/** The upstreams, and routing among them. */
export interface UpstreamSide {
  router: EntryRouter;
  directory: Directory;
  /** The open link to a VM, if there is one. */
  linkTo(vm: Vm): Link | undefined;
  /** Resolves when the list has been read for the first time; it is followed until `close`. */
  start(): Promise<void>;
  /** Resolves when every live upstream is linked; a dead one does not hold it up for long. */
  firstLinks(): Promise<void>;
  close(): Promise<void>;
}

const LIST_INTERVAL_MS = 1_000;
const REVIEW_MS = 1_000;
const FIRST_LIST_RETRY_MS = 250;
const FIRST_LINKS_MS = 2_000;
const LINK_CHECK_MS = 25;

/** Creates the upstreams of an entry; nothing is read or dialled before `start`. */
export const createUpstreamSide = (
  links: EntryLinksOptions,
  intent: Pick<IntentReader, 'current' | 'onChange'>,
  log: Logger,
): UpstreamSide => {
  const { settings, clock, random, metrics } = links;
  const { node, platform } = settings;
  const list = createVmListClient({ url: platform.vmListUrl, client: node.name });
  let directory: Directory | undefined;
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
  directory = createDirectory({
    list,
    connect: createConnectAgent(links),
    onList: router.takeList,
    eventsOf: router.eventsOf,
    clock,
    random,
    metrics,
    log: log.child('upstreams'),
    intervalMs: LIST_INTERVAL_MS,
  });
  const known = directory;
  intent.onChange(router.intentChanged);

  const repeat = async (everyMs: number, fn: () => void): Promise<void> => {
    while (!stopped) {
      await sleep(clock, everyMs);
      fn();
    }
  };

  /**
   * Reads the list until it answers. Without one an entry knows no upstream: reported ready, it
   * would draw callers from the entries that serve and refuse each of them.
   */
  const firstList = async (): Promise<void> => {
    while (!(await known.refresh())) await sleep(clock, FIRST_LIST_RETRY_MS);
  };

  const isUnlinked = (): boolean =>
    known.upstreams().some((upstream) => !upstream.link() && !upstream.leaving());

  return {
    router,
    directory: known,
    linkTo: (vm) =>
      known
        .upstreams()
        .find((upstream) => upstream.vm().name === vm.name)
        ?.link(),
    start: async () => {
      await firstList();
      void known.run();
      void repeat(REVIEW_MS, router.review);
      void repeat(SILENCE_TICK_MS, () => known.upstreams().forEach((upstream) => upstream.tick()));
    },
    firstLinks: async () => {
      const until = clock.monotonic() + FIRST_LINKS_MS;
      while (isUnlinked() && clock.monotonic() < until) await sleep(clock, LINK_CHECK_MS);
    },
    close: async () => {
      stopped = true;
      await known.close();
      await list.close();
    },
  };
};
