/**
 * Upstreams break answers off in many ways, or end them whole, at real entries of both interfaces: whether their callers
 * can tell, what runs twice, and what the check of an answer's end costs.
 */

import { createSeededRandom } from '@plantaindrum/common';
import { ENTRY_LOADS } from './broken-answers/cases.js';
import { figuresOf, isFault, looksComplete } from './broken-answers/figures.js';
import type { EndingFigures } from './broken-answers/figures.js';
import { startOwnSite } from './broken-answers/own-site.js';
import { startPlatformSite } from './broken-answers/platform-site.js';
import { playSite } from './broken-answers/play.js';
import type { PlayedSite, PlaySize } from './broken-answers/play.js';
import type { Interface } from './broken-answers/site.js';
import type { ExperimentOptions } from './table.js';

/** Figures of one case at one interface. */
export interface EndingCaseFigures extends EndingFigures {
  case: string;
  interface: Interface;
}

const WHOLE_SIZE: PlaySize = {
  ...{ pairs: 6, loads: ENTRY_LOADS, brokenPerCase: 18, timed: 120, burst: 300 },
};
const QUICK_SIZE: PlaySize = {
  ...{ pairs: 4, brokenPerCase: 4, timed: 20, burst: 60 },
  loads: ['idle', 'held-20-ms', 'hundreds-at-once'],
};

/** Faulty answers that are printed for each interface. */
const MAX_PRINTED_FAULTS = 20;

const allCalls = (site: PlayedSite) => site.cases.flatMap(({ calls }) => calls);
const allTimed = (site: PlayedSite) =>
  site.cases.filter(({ name }) => name === 'complete').flatMap(({ timed }) => timed);

const undecidableFigures = ({ undecidable }: PlayedSite) => ({
  ended: undecidable.ended.length,
  endedBrokenAtCaller: undecidable.ended.filter((call) => !looksComplete(call)).length,
  cut: undecidable.cut.length,
  cutCompleteAtCaller: undecidable.cut.filter(looksComplete).length,
});

/** Plays the cases at both interfaces; the figures beside the list of cases are those of all answers. */
export const run = async ({
  seed,
  quick,
  print,
}: ExperimentOptions): Promise<Record<string, unknown>> => {
  const size = quick ? QUICK_SIZE : WHOLE_SIZE;
  const sites: [Interface, PlayedSite][] = [
    ['platform', await playSite(startPlatformSite, createSeededRandom(seed), size, 'p')],
    ['own', await playSite(startOwnSite, createSeededRandom(seed + 1), size, 'o')],
  ];
  const cases = sites.flatMap(([name, site]) =>
    site.cases.map((played): EndingCaseFigures => {
      const figures = figuresOf(played.calls, played.timed);
      return { case: `${played.load}: ${played.name}`, interface: name, ...figures };
    }),
  );
  cases.forEach((figures) => {
    const { addedMs, resumed } = figures;
    print(
      `${figures.interface.padEnd(9)} ${figures.case.padEnd(44)} ${figures.broken} of ${figures.answers} broken, ` +
        `falsely complete ${figures.falselyComplete}, falsely broken ${figures.falselyBroken}, ` +
        `repeated ${figures.repeatedUnsafe}, resumed ${resumed}, added ${addedMs.p50} / ${addedMs.p99} ms`,
    );
  });
  sites.forEach(([name, site]) => {
    const faults = site.cases.flatMap((played) =>
      played.calls
        .filter(isFault)
        .map((call) => ({ case: played.name, load: played.load, ...call })),
    );
    faults
      .slice(0, MAX_PRINTED_FAULTS)
      .forEach((fault) => print(`${name} ${JSON.stringify(fault)}`));
  });
  const bySite = Object.fromEntries(
    sites.map(([name, site]) => [
      name,
      {
        ...figuresOf(allCalls(site), allTimed(site)),
        cost: site.cost,
        undecidable: undecidableFigures(site),
      },
    ]),
  );
  const calls = sites.flatMap(([, site]) => allCalls(site));
  const timed = sites.flatMap(([, site]) => allTimed(site));
  return { ...figuresOf(calls, timed), interfaces: bySite, cases };
};
