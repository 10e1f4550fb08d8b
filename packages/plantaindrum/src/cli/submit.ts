/** Submits changes of the intent and reports their outcome. */

import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import type { Argv } from 'yargs';
import { PlantaindrumError } from '@plantaindrum/common';
import type { IntentChange, IntentView, SubmitOutcome } from '@plantaindrum/intent';
import type { OperatorClient } from './operator-client.js';

/** Arguments of commands that change the intent. */
export interface SubmitArgs {
  id?: string;
  author?: string;
}

/** Adds `--id` and `--author`. */
export const withSubmitOptions = <T>(args: Argv<T>) =>
  args
    .option('id', {
      type: 'string',
      describe: 'Id of the change; the same id never takes effect twice',
    })
    .option('author', { type: 'string', describe: 'Who changes it; default: the login name' });

/** Fetches the intent in force at the node. */
export const fetchIntent = async (client: OperatorClient): Promise<IntentView> =>
  (await client.get('/intent')) as IntentView;

const submitError = (
  outcome: Exclude<SubmitOutcome, { outcome: 'accepted' }>,
): PlantaindrumError => {
  if (outcome.outcome === 'conflict') {
    const { key, base, version, author } = outcome.conflicts[0] ?? { key: '', base: 0, version: 0 };
    const by = author === undefined ? '' : ` by ${author}`;
    const detail = `made from version ${base}, now at version ${version}${by}`;
    return new PlantaindrumError('intent-conflict', { key, detail });
  }
  if (outcome.outcome === 'invalid') {
    return new PlantaindrumError('intent-invalid', { detail: outcome.faults.join('; ') });
  }
  return new PlantaindrumError('intent-unknown', { id: outcome.id });
};

/** Submits changes; resolves with the new version once accepted, throws on any other outcome. */
export const submitChanges = async (
  client: OperatorClient,
  changes: IntentChange[],
  args: SubmitArgs,
): Promise<number> => {
  const id = args.id ?? randomUUID();
  const author = args.author ?? userInfo().username;
  const { body } = await client.post('/intent', { id, author, changes });
  const outcome = body as SubmitOutcome;
  if (outcome.outcome === 'accepted') return outcome.version;
  throw submitError(outcome);
};
