/** Operators who change the intent all the while, and what must hold of it at the end. */
import { createHash, randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from '@plantaindrum/common';
import type { IntentKey, IntentView, SubmitOutcome } from '@plantaindrum/intent';
import { request } from 'undici';
import { OPERATOR_TOKEN } from '../../harness/operators.js';
import type { Site } from '../../harness/site-types.js';
import { until } from '../../harness/until.js';

interface Submission {
  id: string;
  key: IntentKey;
  base: number;
  value: { keyHashes: string[] };
  outcome: SubmitOutcome['outcome'] | 'no-answer';
  version?: number;
}

/** What became of the changes; the lists must be empty. */
export interface ChangeFigures {
  outcomes: Record<string, number>;
  /** Accepted, and at some node neither in force nor replaced by a later change. */
  notInForce: string[];
  /** A node that showed an older version of a key than it had shown before. */
  reverted: string[];
  /** Two changes of a key accepted from the same base. */
  acceptedTwice: string[];
  /** From the end of the calls until all nodes had the same intent; -1 when they never had. */
  agreedAfterMs: number;
}

const KEYS = 4;
const GAP_MS = 250;
const ANSWER_WITHIN_MS = 15_000;
const READ_WITHIN_MS = 1_000;
const AGREED_WITHIN_MS = 15_000;

const headers = { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' };

const readIntent = async (door: string): Promise<IntentView | undefined> => {
  try {
    const timeouts = { headersTimeout: READ_WITHIN_MS, bodyTimeout: READ_WITHIN_MS };
    const res = await request(`${door}/intent`, { headers, ...timeouts });
    return (await res.body.json()) as IntentView;
  } catch {
    return undefined;
  }
};

const submit = async (door: string, submission: Submission): Promise<Submission> => {
  const { id, key, base, value } = submission;
  try {
    const res = await request(`${door}/intent`, {
      method: 'POST',
      headers,
      headersTimeout: ANSWER_WITHIN_MS,
      bodyTimeout: ANSWER_WITHIN_MS,
      body: JSON.stringify({ id, author: 'lab', changes: [{ key, base, value }] }),
    });
    const answer = (await res.body.json()) as SubmitOutcome;
    const version = answer.outcome === 'accepted' ? { version: answer.version } : {};
    return { ...submission, outcome: answer.outcome, ...version };
  } catch {
    return { ...submission, outcome: 'no-answer' };
  }
};

const doorsOf = (site: Site): { name: string; door: string }[] => [
  ...site.entries.map(({ name, process }) => ({ name, door: process.ready.operators })),
  ...site.upstreams.map(({ name, agent }) => ({ name, door: agent.ready.operators })),
];

/** Starts operators; `end` waits until the nodes agree and judges. */
export const startChanges = (site: Site, random: Random) => {
  const done: Promise<Submission>[] = [];
  const seen = new Map<string, Record<string, number>>();
  const reverted: string[] = [];
  let stopped = false;

  /** Versions are kept by door: a replaced node has a new one and begins anew. */
  const look = async ({ name, door }: { name: string; door: string }): Promise<void> => {
    const view = await readIntent(door);
    if (!view) return;
    const before = seen.get(door) ?? {};
    Object.entries(before).forEach(([key, version]) => {
      const now = view.versions[key] ?? -1;
      if (now < version) reverted.push(`${name} ${key}: ${version} to ${now}`);
    });
    seen.set(door, view.versions);
  };

  const changeOne = async (): Promise<void> => {
    const entry = site.entries[Math.floor(random() * site.entries.length)];
    const door = entry?.process.ready.operators ?? '';
    const view = await readIntent(door);
    if (!view) return;
    const key: IntentKey = `organisations/extra-${Math.floor(random() * KEYS)}`;
    const id = randomUUID();
    const value = { keyHashes: [createHash('sha256').update(id).digest('hex')] };
    const base = view.versions[key] ?? -1;
    done.push(submit(door, { id, key, base, value, outcome: 'unknown' }));
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      await changeOne();
      await Promise.all(doorsOf(site).map(look));
      await delay(GAP_MS);
    }
  };
  const running = run();

  const readAll = async () =>
    Promise.all(
      doorsOf(site).map(async ({ name, door }) => ({ name, view: await readIntent(door) })),
    );

  const agree = async (): Promise<number> => {
    const begun = performance.now();
    try {
      await until(
        'all nodes have the same intent',
        async () => {
          const views = await readAll();
          const texts = views.map(({ view }) => JSON.stringify(view?.versions));
          return texts.every((text) => text !== undefined && text === texts[0]);
        },
        AGREED_WITHIN_MS,
      );
      return Math.round(performance.now() - begun);
    } catch {
      return -1;
    }
  };

  const end = async (): Promise<ChangeFigures> => {
    stopped = true;
    await running;
    const submissions = await Promise.all(done);
    const agreedAfterMs = await agree();
    const outcomes: Record<string, number> = {};
    submissions.forEach(({ outcome }) => {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    });
    const accepted = submissions.filter(({ outcome }) => outcome === 'accepted');
    const bases = accepted.map(({ key, base }) => `${key} from ${base}`);
    const views = await readAll();
    const isMissing = (view: IntentView | undefined, { key, version = 0, value }: Submission) => {
      const now = view?.versions[key] ?? -1;
      if (now > version) return false;
      const [, name = ''] = key.split('/');
      const held = view?.document.organisations[name];
      return now < version || held?.keyHashes[0] !== value.keyHashes[0];
    };
    return {
      outcomes,
      notInForce: views.flatMap(({ name, view }) =>
        accepted
          .filter((submission) => isMissing(view, submission))
          .map(({ key, version }) => `${name}: ${key} ${version}`),
      ),
      reverted,
      acceptedTwice: bases.filter((base, at) => bases.indexOf(base) !== at),
      agreedAfterMs,
    };
  };

  return { end };
};
