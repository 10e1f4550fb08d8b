import type { IntentDocument } from '@plantaindrum/intent';
import { repositoryRoot } from './child.js';
import { readIntentFile } from './operators.js';
import type { SiteSpec } from './site-types.js';

/** The two example deployments. */
export type Deployment = 'cascade-lotline' | 'magyar-vizualis';

/** Reads the intent of an example deployment. */
export const exampleIntent = (deployment: Deployment): IntentDocument =>
  readIntentFile(`${repositoryRoot}examples/${deployment}/intent.jsonc`);

interface DeploymentLayout {
  region: string;
  dataCentre: string;
  model: string;
  services: string[];
}

const layouts: Record<Deployment, DeploymentLayout> = {
  'cascade-lotline': {
    region: 'northwest',
    dataCentre: 'kent',
    model: 'lot-writer',
    services: ['exports', 'title-checks'],
  },
  'magyar-vizualis': {
    region: 'budapest',
    dataCentre: 'csepel',
    model: 'visual-reviewer',
    services: ['pipeline'],
  },
};

/** Size of a small site; each count is 1 by default. */
export interface SmallSiteOptions {
  entries?: number;
  engines?: number;
  replicas?: number;
}

/** One data centre of an example deployment: an expert group, plain services and entries. */
export const smallSite = (deployment: Deployment, options: SmallSiteOptions = {}): SiteSpec => {
  const { entries = 1, engines = 1, replicas = 1 } = options;
  const { region, dataCentre, model, services } = layouts[deployment];
  return {
    region,
    intent: exampleIntent(deployment),
    groups: [{ name: `${model}-${dataCentre}`, model, dataCentre, engines, ranksPerEngine: 2 }],
    services: services.map((name) => ({ name, dataCentre, replicas })),
    entries: Array.from({ length: entries }, (_, index) => ({
      name: `${dataCentre}-entry-${index + 1}`,
      dataCentre,
    })),
  };
};
