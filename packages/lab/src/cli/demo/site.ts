import type { IntentDocument } from '@plantaindrum/intent';
import { repositoryRoot } from '../../harness/child.js';
import { readIntentFile } from '../../harness/operators.js';
import type { SiteSpec } from '../../harness/site-types.js';

const intentOf = (deployment: string): IntentDocument =>
  readIntentFile(`${repositoryRoot}examples/${deployment}/intent.jsonc`);

const merge = (a: IntentDocument, b: IntentDocument): IntentDocument => ({
  classes: { ...a.classes, ...b.classes },
  organisations: { ...a.organisations, ...b.organisations },
  routes: { ...a.routes, ...b.routes },
  balance: { ...a.balance, ...b.balance },
  dataCentres: { ...a.dataCentres, ...b.dataCentres },
});

/** One data centre of each example deployment, behind the same two entries. */
export const demoSite = (): SiteSpec => ({
  region: 'demo',
  intent: merge(intentOf('cascade-lotline'), intentOf('magyar-vizualis')),
  groups: [
    {
      name: 'lot-writer-kent',
      model: 'lot-writer',
      dataCentre: 'kent',
      engines: 2,
      ranksPerEngine: 2,
    },
    {
      name: 'visual-reviewer-csepel',
      model: 'visual-reviewer',
      dataCentre: 'csepel',
      engines: 2,
      ranksPerEngine: 2,
    },
  ],
  services: [
    { name: 'exports', dataCentre: 'kent', replicas: 1 },
    { name: 'title-checks', dataCentre: 'kent', replicas: 2 },
    { name: 'pipeline', dataCentre: 'csepel', replicas: 2 },
  ],
  entries: [
    { name: 'kent-entry-1', dataCentre: 'kent' },
    { name: 'csepel-entry-1', dataCentre: 'csepel' },
  ],
});
