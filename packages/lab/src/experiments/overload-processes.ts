import type { LoadReport, LoadStream, Violations } from '@plantaindrum/stand-ins';
import { findViolations, startLoad } from '@plantaindrum/stand-ins';
import { startSite } from '../harness/site.js';
import type { Site, SiteSpec } from '../harness/site-types.js';
import { smallSite } from '../harness/small-site.js';
import { generationStarts, groupOracle, serviceCounts } from '../harness/stand-ins.js';
import { round } from '../harness/statistics.js';
import { exampleKey } from '../harness/traffic.js';
import type { ExperimentOptions } from './table.js';

const MODEL = 'lot-writer';
const ORGANISATIONS = [
  'rainier-remarketing',
  'skagit-auto-group',
  'ballard-motors',
  'cedar-river-autos',
  'harbor-wholesale',
  'mount-si-motors',
  'orchard-cars',
  'salmon-bay-autos',
  'sound-fleet-sales',
  'yakima-trade-ins',
];
const FLOOD_SHARE = 10;
const BURST_PER_SECOND = 2000;
const EXPORTS_PER_SECOND = 20;
const OFFERED = { light: 0.7, heavy: 3 };

/** Each organisation's model calls are split over these classes. */
const CLASSES = [
  { name: 'live-summary', stream: true, share: 0.4 },
  { name: 'live-reply', stream: false, share: 0.4 },
  { name: 'lot-draft', stream: true, share: 0.2 },
];

const siteSpec = (): SiteSpec => {
  const spec = smallSite('cascade-lotline', { entries: 2, engines: 2 });
  const groups = spec.groups.map((group) => ({ ...group, flags: { 'max-running': 8 } }));
  return { ...spec, groups, agentLimits: { concurrency: 8 } };
};

const modelStreams = (spec: SiteSpec, perSecond: number, flood: number): LoadStream[] => {
  const parts = ORGANISATIONS.length - 1 + flood;
  return ORGANISATIONS.flatMap((organisation, at) =>
    CLASSES.map(({ name, stream, share }) => ({
      organisation,
      apiKey: exampleKey(organisation),
      class: name,
      perSecond: (perSecond * share * (at === 0 ? flood : 1)) / parts,
      targetMs: spec.intent.classes[name]?.latestAnswerMs ?? 0,
      work: {
        kind: 'completion',
        model: MODEL,
        stream,
        prefixes: 2,
        prefixCharacters: 512,
        tokens: [16, 32],
      },
    })),
  );
};

/** Exports that may not repeat; some come through both entries at once. */
const exportStream = (spec: SiteSpec): LoadStream => ({
  organisation: 'rainier-remarketing',
  apiKey: exampleKey('rainier-remarketing'),
  class: 'bid-sheet-export',
  perSecond: EXPORTS_PER_SECOND,
  targetMs: spec.intent.classes['bid-sheet-export']?.latestAnswerMs ?? 0,
  duplicateShare: 0.2,
  work: { kind: 'service', path: '/exports', keyed: true },
});

/** Answers a second of the engines when called directly with more than they can do. */
const measureCapacity = async (site: Site, spec: SiteSpec, seed: number): Promise<number> => {
  const urls = site.upstreams.filter(({ kind }) => kind === 'model').map(({ url }) => url);
  const begun = performance.now();
  const load = startLoad({
    streams: modelStreams(spec, BURST_PER_SECOND, 1),
    seed,
    durationMs: 300,
    pickTarget: ({ index }) => urls[index % urls.length] ?? '',
  });
  const results = await load.finished;
  return (results.length * 1000) / (performance.now() - begun);
};

const sumOf = (counts: Record<string, number>[]): Record<string, number> => {
  const sums: Record<string, number> = {};
  counts
    .flatMap((each) => Object.entries(each))
    .forEach(([key, count]) => {
      sums[key] = (sums[key] ?? 0) + count;
    });
  return sums;
};

/** How often each call ran, by the stand-ins' own counts. */
export const executionsOf = async (site: Site) => {
  const services = site.services.flatMap(({ processes }) => processes);
  const counts = await Promise.all(services.map(({ ready }) => serviceCounts(ready.control)));
  const starts = await Promise.all(
    site.groups.map(({ process }) => generationStarts(process.ready.control)),
  );
  return { byPath: sumOf(counts.map(({ byPath }) => byPath)), byCompletion: sumOf(starts) };
};

const countsOf = (violations: Violations): Record<keyof Violations, number> => ({
  ranThoughNotRun: violations.ranThoughNotRun.length,
  ranTwice: violations.ranTwice.length,
  answeredWithoutRun: violations.answeredWithoutRun.length,
  wrongAnswers: violations.wrongAnswers.length,
});

/** The smallest number of an organisation's answers over an equal share of what was possible. */
const fairness = (report: LoadReport): number => {
  const served = ORGANISATIONS.map((name) => report.byOrganisation[name]);
  const answered = served.map((figures) => figures?.outcomes.answered ?? 0);
  const equalShare = answered.reduce((sum, count) => sum + count, 0) / ORGANISATIONS.length;
  const ratios = served.map(
    (figures, at) => (answered[at] ?? 0) / Math.min(equalShare, figures?.sent ?? 0),
  );
  return round(Math.min(...ratios), 3);
};

const msOf = (us: number): number => round(us / 1000, 1);

const classFigures = (report: LoadReport) =>
  Object.fromEntries(
    Object.entries(report.byClass).map(([name, figures]) => [
      name,
      {
        sent: figures.sent,
        answered: figures.outcomes.answered,
        inTimeOfSent: round(figures.inTime / figures.sent, 3),
        firstP50Ms: msOf(figures.firstUs.p50),
        firstP95Ms: msOf(figures.firstUs.p95),
        betweenP95Ms: msOf(figures.betweenUs.p95),
      },
    ]),
  );

interface Phase {
  streams: LoadStream[];
  seed: number;
  durationMs: number;
}

const runPhase = async (site: Site, spec: SiteSpec, phase: Phase) => {
  const urls = site.entries.map(({ url }) => url);
  const load = startLoad({ ...phase, pickTarget: ({ index }) => urls[index % urls.length] ?? '' });
  const results = await load.finished;
  const report = load.report();
  const mayNotRepeat = (name: string): boolean => spec.intent.classes[name]?.mayNotRepeat ?? false;
  const violations = findViolations(results, await executionsOf(site), mayNotRepeat);
  return {
    sent: report.total.sent,
    outcomes: report.total.outcomes,
    reasons: report.total.reasons,
    classes: classFigures(report),
    fairness: fairness(report),
    refusalP50Ms: msOf(report.total.refusalUs.p50),
    refusalP99Ms: msOf(report.total.refusalUs.p99),
    lackingRetryAfter: report.lackingRetryAfter,
    violations: countsOf(violations),
  };
};

/**
 * An overload of real processes: two entries and two engines at 0.7 and 3 times the capacity that
 * direct calls measured in the same run; in the heavy phase one organisation sends ten times as
 * much as each of the others, and exports come through both entries at once.
 */
export const run = async ({ seed, quick, print }: ExperimentOptions) => {
  const spec = siteSpec();
  const site = await startSite(spec);
  const durationMs = quick ? 1500 : 10_000;
  try {
    const capacity = await measureCapacity(site, spec, seed);
    print(`capacity: ${round(capacity, 1)} answers a second`);
    const light = await runPhase(site, spec, {
      streams: [...modelStreams(spec, capacity * OFFERED.light, 1), exportStream(spec)],
      seed: seed + 1,
      durationMs,
    });
    print(`light: ${JSON.stringify(light)}`);
    const heavy = await runPhase(site, spec, {
      streams: [...modelStreams(spec, capacity * OFFERED.heavy, FLOOD_SHARE), exportStream(spec)],
      seed: seed + 2,
      durationMs,
    });
    print(`heavy: ${JSON.stringify(heavy)}`);
    const oracles = await Promise.all(
      site.groups.map(({ process }) => groupOracle(process.ready.control)),
    );
    const mixedSteps = oracles.reduce((sum, oracle) => sum + oracle.mixedSteps, 0);
    return { experiment: 'overload-processes', seed, capacity, light, heavy, mixedSteps };
  } finally {
    await site.close();
  }
};
