/** Plays one load pattern: callers, entries, the emulated group, and the real coordinator of its expert map. */

import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { Intent, Upstream } from '@plantaindrum/gateway';
import { startCoordinator } from '../../emulator/coordinator.js';
import { createContent } from '../../emulator/content.js';
import type { DaySpec } from '../../emulator/day-types.js';
import { createEngineGroup } from '../../emulator/engine-group.js';
import type { EngineRequest } from '../../emulator/engine-types.js';
import { smallGroupDay } from '../../emulator/sites.js';
import { normal } from '../balance-traces.js';
import { createEntry, SERVICE } from './entry.js';
import type { RequestHandle } from './entry.js';
import { createFigures } from './figures.js';
import type { CallerClass, Episode, LoadFigures, LoadSpec } from './types.js';

const ORGANISATIONS = 8;
const TARGET_PAUSE_MS = 150;
const CALLER_TIMEOUT_MS = 8_000;
const REPORT_INTERVAL_MS = 60;
const LINK_MS = 2;
const CLOCK_STEP_MS = 20;
const DRAIN_MS = 6_000;
const PROMPT_TOKENS = 1_000;
const EVENTS = 26;
const ENDED_DELAY_MS = 1;

/** A sixth of the users' deployment A: its times and slots, 16 of 64 ranks. */
const day: Omit<DaySpec, 'seed'> = {
  ...smallGroupDay,
  times: {
    ...smallGroupDay.times,
    slots: 7,
    stepMs: 4.55,
    perSeqMs: 1.557,
    contextMsPerK: 0.031,
    prefillTokensPerMs: 61.4,
    stride: 5,
  },
  content: { ...smallGroupDay.content, skew: 0.8 },
};

const intentOf = (classes: readonly CallerClass[]): Intent => ({
  version: 1,
  routes: classes.map(({ name, priority, targetMs }) => ({
    ...{ name, priority, targetMs, host: 'h', pathPrefix: `/${name}/`, kind: 'stream' as const },
    ...{ resumable: true, timeoutMs: CALLER_TIMEOUT_MS, targetPauseMs: TARGET_PAUSE_MS },
    ...{ maxAttempts: 2, anonymous: true, services: [{ service: SERVICE, weight: 1 }] },
  })),
  services: [
    {
      name: SERVICE,
      maxConnections: Infinity,
      healthPath: undefined,
      engine: {
        ...{ sets: 0, experts: 0, places: 0, spare: 0, expertMb: 0, copyMbps: 0 },
        passTimes: {
          stepMs: day.times.stepMs,
          perStreamMs: day.times.perSeqMs,
          contextMsPerK: day.times.contextMsPerK,
          stride: day.times.stride,
          prefillTokensPerMs: day.times.prefillTokensPerMs,
          chunk: day.times.chunk,
        },
      },
    },
  ],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  organisations: undefined,
});

/** Plays a run; the same specification gives the same figures. */
export const playLoad = async (spec: LoadSpec): Promise<LoadFigures> => {
  const clock = createManualClock();
  const random = createSeededRandom(spec.seed);
  // Apart from the other choices, so that all settings of a seed have the same callers.
  const callerRandom = createSeededRandom(spec.seed + 3);
  const content = createContent(day.content, createSeededRandom(spec.seed + 1));
  const { ranks, copyMs, times } = day;
  const { sets, experts } = day.content;
  const group = createEngineGroup({
    ...{ ranks, sets, experts, copyMs, times, content, clock, random },
  });
  const daySpec = { ...day, seed: spec.seed };
  const coordinator = startCoordinator(daySpec, group, clock, createSeededRandom(spec.seed + 2));
  const figures = createFigures(spec.classes, ORGANISATIONS);

  const episodeNow = (): Episode | undefined =>
    spec.episodes.find(
      ({ fromMs, toMs }) => clock.monotonic() >= fromMs && clock.monotonic() < toMs,
    );
  const entries = Array.from({ length: spec.entries }, (_, at) =>
    createEntry({
      ...{ name: `e${at}`, mode: spec.mode, intent: intentOf(spec.classes), ranks, clock, random },
      ...{ slots: times.slots, entries: spec.entries, targetPauseMs: TARGET_PAUSE_MS },
      isEvacuated: (rank) => rank < (episodeNow()?.evacuated ?? 0) * ranks,
    }),
  );
  type Entry = (typeof entries)[number];

  const report = (from: Entry, at: number): void => {
    const upstreams = from.directory.all();
    const counts = Object.fromEntries(upstreams.map((u) => [u.record.instance, u.inFlight()]));
    const waiting = from.streams.waiting();
    clock.after(LINK_MS, () =>
      entries.forEach((to) => {
        if (to === from) return;
        to.directory.applyPeerLoad(`e${at}`, { isWhole: true, counts });
        to.streams.applyPeerWaiting(`e${at}`, waiting);
      }),
    );
    clock.after(REPORT_INTERVAL_MS, () => report(from, at));
  };
  entries.forEach((entry, at) =>
    clock.after(random() * REPORT_INTERVAL_MS, () => report(entry, at)),
  );

  /** Runs a stream at an upstream; `done` receives whether it was on time. */
  const runStream = (
    entry: Entry,
    upstream: Upstream,
    stream: {
      arrivedAt: number;
      targetMs: number;
      promptTokens: number;
      events: number;
      topic: number;
    },
    firstEventLate: () => void,
    done: (isOnTime: boolean) => void,
  ): void => {
    const sentAt = clock.monotonic();
    let lastAt = sentAt;
    let isOnTime = true;
    upstream.begin();
    const request: EngineRequest = {
      topic: stream.topic,
      promptTokens: stream.promptTokens,
      events: stream.events,
      onEvent: (n) => {
        const now = clock.monotonic();
        if (n === 1) {
          entry.recordFirstEvent(upstream, now - sentAt);
          if (now - stream.arrivedAt > stream.targetMs) {
            isOnTime = false;
            firstEventLate();
          }
        } else {
          entry.recordPause(upstream, now - lastAt);
          if (now - lastAt > TARGET_PAUSE_MS) isOnTime = false;
        }
        lastAt = now;
      },
      onEnd: () => {
        upstream.end();
        done(isOnTime);
      },
    };
    group.submit(entry.rankOf(upstream), request);
  };

  let lastId = 0;
  const arrive = (caller: CallerClass, organisation: number): void => {
    lastId += 1;
    const id = `q${lastId}`;
    const firstAt = clock.monotonic();
    const promptFactor = episodeNow()?.promptFactor ?? 1;
    const size = (): number => Math.exp(0.8 * normal(callerRandom) - 0.32);
    const promptTokens = Math.max(1, Math.round(PROMPT_TOKENS * promptFactor * size()));
    const events = Math.max(1, Math.round(EVENTS * size()));
    const topic = content.drawTopic();
    const record = figures.start(caller.name, organisation, firstAt);

    const attempt = (tries: number): void => {
      const entry = entries[Math.floor(random() * entries.length)]!;
      const arrivedAt = clock.monotonic();
      const elapsedMs = arrivedAt - firstAt;
      const request = {
        ...{ id, organisation: `o${organisation}`, priority: caller.priority, arrivedAt },
        ...{ targetMs: caller.targetMs, deadlineAt: firstAt + CALLER_TIMEOUT_MS },
        ...{ elapsedMs, promptTokens },
      };
      const handle: RequestHandle = entry.offer(request, ({ isSent, retryAfterMs }) => {
        const upstream = isSent ? entry.directory.select(SERVICE, new Set()) : undefined;
        if (!upstream) {
          record.refused();
          if (tries === 0) clock.after(retryAfterMs, () => attempt(1));
          else record.end('refused-again');
          return;
        }
        queueMicrotask(() => handle.begun());
        record.sent(clock.monotonic() - arrivedAt);
        const stream = { ...request, events, topic };
        runStream(entry, upstream, stream, record.firstEventLate, (isOnTime) => {
          record.end(isOnTime ? 'on-time' : 'late');
          clock.after(ENDED_DELAY_MS, () => handle.ended());
        });
      });
    };
    attempt(0);
  };

  const nextArrival = (caller: CallerClass, organisation: number): void => {
    if (clock.monotonic() > spec.lengthMs) return;
    const { factors = {}, floodFactor = 1 } = episodeNow() ?? {};
    const factor = (factors[caller.name] ?? 1) * (organisation === 0 ? floodFactor : 1);
    const perMs = (caller.perSecond * factor) / ORGANISATIONS / 1_000;
    // At most 200 ms at a time, so that a new episode takes effect.
    const gapMs = -Math.log(1 - callerRandom()) / perMs;
    const limitMs = 200;
    clock.after(Math.min(gapMs, limitMs), () => {
      if (gapMs <= limitMs) arrive(caller, organisation);
      nextArrival(caller, organisation);
    });
  };
  spec.classes.forEach((caller) => {
    for (let organisation = 0; organisation < ORGANISATIONS; organisation += 1) {
      nextArrival(caller, organisation);
    }
  });

  const shift = (): void => {
    content.shift(day.shiftShare);
    clock.after(day.shiftEveryMs, shift);
  };
  clock.after(day.shiftEveryMs, shift);

  while (clock.monotonic() < spec.lengthMs + DRAIN_MS) await clock.advance(CLOCK_STEP_MS);
  coordinator.close();
  group.close();
  entries.forEach(({ streams }) => streams.close());
  return figures.summary(group.figures().meanPassMs);
};
