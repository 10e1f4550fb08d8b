import { createSeededRandom } from '@plantaindrum/common';
import type { Clock, Random } from '@plantaindrum/common';
import { createAgentQueue, createRetryPolicy } from '@plantaindrum/requests';
import type {
  EntryNode,
  Rejected,
  Route,
  DispatchedRequest,
  Upstream,
} from '@plantaindrum/requests';
import { createVirtualClock, every } from './routing-clock.js';
import type { RoutingPolicy } from './routing-policies.js';
import { createFigures } from './routing-figures.js';
import type { RunFigures } from './routing-figures.js';
import type { TrafficOptions } from './routing-traffic.js';
import { createRequestSource } from './routing-traffic.js';
import type { ModelRequest, ModelUpstream } from './routing-upstream.js';
import { createModelUpstream } from './routing-upstream.js';

/** What a policy is made from, once for each entry. */
export interface PolicyContext {
  clock: Clock;
  random: Random;
  self: EntryNode;
  entries: EntryNode[];
  upstreams: Upstream[];
}

/** One run of the routing model. */
export interface RoutingScenario {
  seed: number;
  seconds: number;
  /** Offered load over what all upstreams can take with cold caches. */
  utilization: number;
  sites: { dataCentre: string; upstreams: number; entries: number }[];
  /** From a third of the run on, the first upstream is this many times slower, its agent as ever. */
  slowFactor?: number;
  traffic?: TrafficOptions;
  createPolicy(context: PolicyContext): RoutingPolicy;
}

/** A request on its way from one entry. */
interface RoutedRequest extends ModelRequest {
  entry: number;
  attempts: number;
  tried: Set<string>;
  upstream: string;
  ticket: DispatchedRequest;
}

const CONCURRENCY = 8;
const QUEUE_CAPACITY = 64;
const CACHED_PREFIXES = 24;
/** Requests a second of one upstream whose caches are cold, measured with the model itself. */
const UPSTREAM_CAPACITY = 13;
const HEARTBEAT_MS = 1_000;
const REPORT_EVERY_MS = 2_000;
const REPORT_LAG_MS = 2_000;

const nodesOf = (scenario: RoutingScenario, kind: 'upstreams' | 'entries', infix: string) =>
  scenario.sites.flatMap((site) =>
    Array.from({ length: site[kind] }, (_, n) => ({
      id: `${site.dataCentre}-${infix}${n}`,
      dataCentre: site.dataCentre,
      region: 'region',
      target: 'model',
    })),
  );

/** Runs the model once and gives its figures. */
export const runRoutingScenario = (scenario: RoutingScenario): RunFigures => {
  const clock = createVirtualClock();
  const random = createSeededRandom(scenario.seed);
  const figures = createFigures();
  const upstreams = nodesOf(scenario, 'upstreams', 'u');
  const entries = nodesOf(scenario, 'entries', 'e');
  const models = new Map<string, ModelUpstream<RoutedRequest>>();
  const policies = entries.map((self, n) =>
    scenario.createPolicy({
      clock,
      random: createSeededRandom(scenario.seed * 1_000 + n),
      self,
      entries,
      upstreams,
    }),
  );
  const retries = entries.map(() => createRetryPolicy({ clock }));
  const dataCentreOf = new Map(
    [...upstreams, ...entries].map((node) => [node.id, node.dataCentre]),
  );

  /** One-way latency, in milliseconds. */
  const latency = (entry: number, upstream: string): number =>
    dataCentreOf.get(entries[entry]!.id) === dataCentreOf.get(upstream) ? 0.2 : 1;

  const atEntry = (request: RoutedRequest, fn: () => void) => {
    clock.after(latency(request.entry, request.upstream), fn);
  };

  const dispatch = (request: RoutedRequest, route: Route) => {
    if (route.upstream === undefined) {
      figures.refused(request, route.reason);
      return;
    }
    const { upstream } = route;
    const sent = Object.assign(request, {
      upstream,
      attempts: request.attempts + 1,
      ticket: policies[request.entry]!.recordDispatch(upstream),
    });
    sent.tried.add(upstream);
    figures.dispatched();
    clock.after(latency(sent.entry, upstream), () => models.get(upstream)!.offer(sent));
  };

  const choose = (request: RoutedRequest, exclude?: Set<string>) =>
    policies[request.entry]!.choose({
      target: 'model',
      prefix: request.prefix,
      ...(exclude ? { exclude } : {}),
    });

  const atRejection = ({ item, reason }: Rejected<RoutedRequest>) => {
    item.ticket.ended();
    const decision = retries[item.entry]!.decide({
      outcome: 'not-run',
      reason,
      mayNotRepeat: false,
      attempts: item.attempts,
      deadline: item.deadline,
      answerBegun: false,
    });
    if (decision.retry) dispatch(item, choose(item, item.tried));
    else figures.refused(item, reason);
  };

  const reportLoad = (upstream: string, entry: number) => {
    const load = models.get(upstream)!.load();
    clock.after(latency(entry, upstream), () => policies[entry]!.recordLoad(upstream, load));
  };

  const addUpstream = (upstream: string) => {
    const queue = createAgentQueue<RoutedRequest>({
      clock,
      random,
      capacity: QUEUE_CAPACITY,
      concurrency: CONCURRENCY,
    });
    const model = createModelUpstream<RoutedRequest>({
      clock,
      queue,
      concurrency: CONCURRENCY,
      cachedPrefixes: CACHED_PREFIXES,
      events: {
        started: (request) => atEntry(request, () => request.ticket.started()),
        firstToken: (request, hit) =>
          atEntry(request, () => {
            request.ticket.firstByte();
            figures.firstToken(request, clock.monotonic() - request.sentAt, hit);
          }),
        ended: (request) => {
          reportLoad(upstream, request.entry);
          atEntry(request, () => request.ticket.ended());
        },
        rejected: (rejected) => {
          reportLoad(upstream, rejected.item.entry);
          atEntry(rejected.item, () => atRejection(rejected));
        },
      },
    });
    models.set(upstream, model);
  };

  upstreams.forEach(({ id }) => addUpstream(id));
  every(clock, HEARTBEAT_MS, () => {
    upstreams.forEach(({ id }) => entries.forEach((_, entry) => reportLoad(id, entry)));
    policies.forEach((policy) => policy.updateHealth().forEach(figures.healthChange));
  });
  every(clock, REPORT_EVERY_MS, () => {
    const reports = upstreams.map(({ id }) => ({ id, load: models.get(id)!.load() }));
    clock.after(REPORT_LAG_MS, () =>
      reports.forEach(({ id, load }) =>
        policies.forEach((policy) => policy.recordLaggedLoad(id, load)),
      ),
    );
  });
  if (scenario.slowFactor !== undefined) {
    const factor = scenario.slowFactor;
    clock.after((scenario.seconds * 1_000) / 3, () =>
      models.get(upstreams[0]!.id)!.setSlowness(factor),
    );
  }

  const perSecond = UPSTREAM_CAPACITY * upstreams.length * scenario.utilization;
  const source = createRequestSource(createSeededRandom(scenario.seed + 77), scenario.traffic);
  const arrive = () => {
    const entry = Math.floor(random() * entries.length);
    const base = source.next(clock.monotonic());
    const ticket: DispatchedRequest = {
      started: () => {},
      firstByte: () => {},
      failed: () => {},
      ended: () => {},
    };
    const request = { ...base, entry, attempts: 0, tried: new Set<string>(), upstream: '', ticket };
    figures.arrived(request);
    retries[entry]!.recordRequest();
    dispatch(request, choose(request));
    clock.after(source.gapMs(perSecond), arrive);
  };
  clock.after(0, arrive);
  clock.run(scenario.seconds * 1_000);
  return figures.result();
};
