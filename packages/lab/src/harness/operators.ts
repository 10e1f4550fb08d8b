import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import type {
  IntentChange,
  IntentDocument,
  IntentKey,
  IntentView,
  SubmitOutcome,
} from '@plantaindrum/intent';
import { intentDocumentSchema } from '@plantaindrum/intent';
import { parseSettings } from '@plantaindrum/common';
import { request } from 'undici';

/** Token of every operator server that the lab starts. */
export const OPERATOR_TOKEN = 'lab-operators-token';

/** The fields of an entry's status that the lab reads. */
export interface EntryStatusView {
  ready: boolean;
  inFlight: number;
  upstreams: {
    name: string;
    linked: boolean;
    leaving: boolean;
    outstanding: number;
    queued?: number;
    running?: number;
  }[];
}

/** A client of one operator server. */
export interface OperatorClient {
  ready(): Promise<boolean>;
  status(): Promise<EntryStatusView>;
  metrics(): Promise<string>;
  /** Value of a counter in the metrics, summed over the series that match `labels`. */
  counter(name: string, labels?: Record<string, string>): Promise<number>;
  intent(): Promise<IntentView>;
  change(changes: IntentChange[], author?: string): Promise<SubmitOutcome>;
}

const headers = { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' };

const matchesSeries = (line: string, name: string, labels: Record<string, string>): boolean =>
  (line.startsWith(`${name}{`) || line.startsWith(`${name} `)) &&
  Object.entries(labels).every(([key, value]) => line.includes(`${key}="${value}"`));

/** Sums the series of a metric in a Prometheus exposition that match `labels`. */
export const sumSeries = (text: string, name: string, labels: Record<string, string> = {}) =>
  text
    .split('\n')
    .filter((line) => matchesSeries(line, name, labels))
    .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);

/** Creates a client of the operator server at `url`. */
export const createOperatorClient = (url: string): OperatorClient => {
  const get = async (path: string): Promise<string> => {
    const res = await request(`${url}${path}`, { headers });
    return res.body.text();
  };
  const metrics = (): Promise<string> => get('/metrics');

  return {
    ready: async () => {
      try {
        const res = await request(`${url}/ready`);
        await res.body.dump();
        return res.statusCode === 200;
      } catch {
        return false;
      }
    },
    status: async () => JSON.parse(await get('/status')) as EntryStatusView,
    metrics,
    counter: async (name, labels) => sumSeries(await metrics(), name, labels),
    intent: async () => JSON.parse(await get('/intent')) as IntentView,
    change: async (changes, author = 'lab') => {
      const res = await request(`${url}/intent`, {
        method: 'POST',
        headers,
        body: JSON.stringify({ id: randomUUID(), author, changes }),
      });
      return (await res.body.json()) as SubmitOutcome;
    },
  };
};

/** Reads an intent file (JSON with comments); throws if it is invalid. */
export const readIntentFile = (file: string): IntentDocument => {
  const parsed = parseSettings(readFileSync(file, 'utf8'), intentDocumentSchema);
  if (!parsed.ok) throw new Error(`${file}: ${JSON.stringify(parsed.err)}`);
  return parsed.value;
};

/** Changes that declare a full document on an empty log. */
export const toInitialChanges = (document: IntentDocument): IntentChange[] =>
  Object.entries(document).flatMap(([section, values]) =>
    Object.entries(values).map(([name, value]) => ({
      key: `${section}/${name}` as IntentKey,
      base: -1,
      value,
    })),
  );
