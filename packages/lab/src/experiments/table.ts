import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** What an experiment is given. */
export interface ExperimentOptions {
  /** Seed of every random choice. */
  seed: number;
  /** A shorter run, for tests. */
  quick: boolean;
  print: (line: string) => void;
}

/** An experiment; its figures are printed as one JSON object. */
export interface Experiment {
  run(options: ExperimentOptions): Promise<Record<string, unknown>>;
}

/** Every experiment, each in the module `NAME.ts`, which exports `run`. */
export const experimentNames = [
  'ablation',
  'admission',
  'balance',
  'broken-answers',
  'claims',
  'crashing-part',
  'drain',
  'evacuation',
  'faults',
  'hard-load',
  'hot-entry',
  'intent',
  'overload',
  'overload-processes',
  'path',
  'processor-time',
  'quarantine',
  'rate-limit',
  'rank-balance',
  'recovery',
  'routing',
  'slopes',
] as const;

/** Loads an experiment's module; undefined when this version has none of that name. */
export const loadExperiment = async (name: string): Promise<Experiment | undefined> => {
  const extension = import.meta.url.endsWith('.ts') ? 'ts' : 'js';
  const module = new URL(`./${name}.${extension}`, import.meta.url);
  if (!existsSync(fileURLToPath(module))) return undefined;
  return (await import(module.href)) as Experiment;
};
