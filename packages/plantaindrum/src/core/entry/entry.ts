/** An entry process: doors, links, intent and the requests that run between them. */

import { randomUUID } from 'node:crypto';
import type { EntrySettings } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { FrameHandler, NodeStatus } from '@plantaindrum/link';
import { createLinkServer, NODE_STATUS } from '@plantaindrum/link';
import { createRetryPolicy } from '@plantaindrum/requests';
import { defaultAttemptTimes } from '../attempts/run-attempt.js';
import type { CallersDoor } from '../callers/door.js';
import { openCallersDoor } from '../callers/door.js';
import { openOperatorsDoor } from '../operators/door.js';
import type { ServeOptions } from '../requests/serve-request.js';
import type { EntryRouter } from '../routing/entry-router.js';
import { createClassTargets } from '../status/class-targets.js';
import { entryStatus } from '../status/entry-status.js';
import { createAskNode } from './ask-node.js';
import type { EntryDeps } from './deps.js';
import { startIntentSide } from './intent-side.js';
import { linkOptions } from './links.js';
import { createCollectReports } from './node-reports.js';
import { createReadiness } from './readiness.js';
import { createUpstreamSide } from './upstream-side.js';

/** A running entry. */
export interface Entry {
  callers: string;
  operators: string;
  link: string;
  /** Resolves when the entry serves: its intent is read and its first links are up. */
  ready: Promise<void>;
  isReady(): boolean;
  /** Fails readiness, lets every request end, then closes. */
  drain(): Promise<void>;
  /** Closes at once; what is in flight breaks off. */
  close(): Promise<void>;
}

const NOTICE_MS = 1_000;

const ignoreFrames: FrameHandler = () => {};

const serveOptions = (instance: string, router: EntryRouter, deps: EntryDeps): ServeOptions => {
  const { clock, metrics } = deps;
  let lastAttempt = 0;
  return {
    choose: router.choose,
    retries: createRetryPolicy({ clock }),
    nextId: () => {
      lastAttempt += 1;
      return `${instance}:${lastAttempt}`;
    },
    times: defaultAttemptTimes,
    clock,
    metrics,
  };
};

/** Starts an entry; rejects when an address can't be listened on. */
export const startEntry = async (settings: EntrySettings, deps: EntryDeps): Promise<Entry> => {
  const { clock, random, metrics, log } = deps;
  const { node, limits } = settings;
  const instance = randomUUID();
  const { intent, links: intentLinks, close: closeIntent } = startIntentSide(settings, deps);

  let callers: CallersDoor | undefined;
  const inFlight = (): number => callers?.inFlight() ?? 0;
  const nodeStatus = (): NodeStatus => ({
    inFlight: inFlight(),
    intent: { offset: intent.current().offset },
  });
  const links = {
    settings,
    instance,
    intent: intentLinks,
    handlers: { [NODE_STATUS]: async () => nodeStatus() },
    clock,
    random,
    metrics,
    log: log.child('link'),
  };
  const upstreams = createUpstreamSide(links, intent, log);
  const { router, directory } = upstreams;
  const linkServer = await createLinkServer({
    ...linkOptions(links),
    listen: settings.link,
    onLink: (link) => {
      intentLinks.onLink(link);
      return ignoreFrames;
    },
  });

  const readiness = createReadiness({
    dataCentre: node.dataCentre,
    intent,
    clock,
    log,
    noticeMs: NOTICE_MS,
  });
  const targets = createClassTargets(clock);

  callers = await openCallersDoor({
    listen: settings.callers,
    limits,
    intent,
    closedFor: readiness.closedFor,
    serve: serveOptions(instance, router, deps),
    targets,
    clock,
    metrics,
  });
  const door = callers;

  const askNode = createAskNode({
    shared: linkOptions(links),
    linkTo: upstreams.linkTo,
    clock,
    random,
  });

  const operators = await openOperatorsDoor({
    listen: settings.operators,
    limits,
    intent,
    unready: readiness.unready,
    status: () =>
      entryStatus({
        node,
        instance,
        intent,
        directory,
        router,
        targets,
        metrics,
        inFlight,
        leaving: () => readiness.phase() === 'draining',
        unready: readiness.unready,
      }),
    reports: createCollectReports({
      self: { ...node, status: nodeStatus },
      vms: directory.vms,
      askNode,
    }),
    metrics,
  });

  const start = async (): Promise<void> => {
    await upstreams.start();
    await intent.ready();
    await upstreams.firstLinks();
    readiness.started();
  };

  const close = async (): Promise<void> => {
    await door.close();
    await operators.close();
    await upstreams.close();
    await linkServer.close();
    await closeIntent();
  };

  return {
    callers: door.url,
    operators: operators.url,
    link: `${linkServer.address.host}:${linkServer.address.port}`,
    ready: start(),
    isReady: () => readiness.unready() === undefined,
    drain: async () => {
      readiness.drain();
      await sleep(clock, NOTICE_MS);
      await door.drain();
      await close();
    },
    close,
  };
};
