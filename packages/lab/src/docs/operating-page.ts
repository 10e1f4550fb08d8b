/**
 * Generates the tables of docs/OPERATING.md from the catalogues in the code. `npm run docs` writes
 * them between the markers of the page; a test checks that the page is up to date.
 */

import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { format } from 'prettier';
import {
  agentSettingsSchema,
  commandErrors,
  describeKeys,
  entrySettingsSchema,
  exitCodes,
  fileErrors,
  metricHelp,
  refusals,
} from '@plantaindrum/common';
import type { KeyDescription } from '@plantaindrum/common';
import { repositoryRoot } from '../harness/child.js';

/** Path of the page. */
export const OPERATING_PAGE = join(repositoryRoot, 'docs/OPERATING.md');

const escapeCell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ');

const table = (head: string[], rows: string[][]): string =>
  [head, head.map(() => '---'), ...rows]
    .map((row) => `| ${row.map(escapeCell).join(' | ')} |`)
    .join('\n');

const code = (text: string): string => `\`${text}\``;

const formatDefault = ({ standard, required }: KeyDescription): string => {
  if (standard !== undefined) return code(standard);
  return required ? 'required' : 'none';
};

const settingsTable = (keys: KeyDescription[]): string =>
  table(
    ['key', 'value', 'default', 'meaning'],
    keys.map((key) => [code(key.key), key.expected, formatDefault(key), key.description]),
  );

const agentOnlyKeys = (): KeyDescription[] =>
  describeKeys(agentSettingsSchema).filter(({ key }) => key.startsWith('upstream.'));

const tables: Record<string, () => string> = {
  refusals: () =>
    table(
      ['reason', 'status', 'outcome', 'what happened', 'what to do'],
      Object.entries(refusals).map(([reason, { status, outcome, title, hint }]) => [
        code(reason),
        String(status),
        outcome,
        title,
        hint,
      ]),
    ),
  'command-errors': () =>
    table(
      ['name', 'exit code', 'what happened', 'what to do'],
      Object.entries({ ...fileErrors, ...commandErrors }).map(
        ([name, { exitCode, title, hint }]) => [code(name), String(exitCode), title, hint],
      ),
    ),
  'exit-codes': () =>
    table(
      ['exit code', 'name'],
      Object.entries(exitCodes).map(([name, value]) => [String(value), name]),
    ),
  'entry-settings': () => settingsTable(describeKeys(entrySettingsSchema)),
  'agent-settings': () => settingsTable(agentOnlyKeys()),
  metrics: () =>
    table(
      ['metric', 'meaning'],
      Object.entries(metricHelp).map(([name, help]) => [code(`plantaindrum_${name}`), help]),
    ),
};

const replaceTable = (page: string, name: string, text: string): string => {
  const begin = `<!-- table: ${name} -->`;
  const end = `<!-- end: ${name} -->`;
  const [from, to] = [page.indexOf(begin), page.indexOf(end)];
  if (from < 0 || to < from) throw new Error(`the page has no markers for the table ${name}`);
  return `${page.slice(0, from)}${begin}\n\n${text}\n\n${page.slice(to)}`;
};

/** Returns the page with all its tables generated from the code. */
export const renderPage = (): Promise<string> => {
  const filled = Object.entries(tables).reduce(
    (page, [name, make]) => replaceTable(page, name, make()),
    readFileSync(OPERATING_PAGE, 'utf8'),
  );
  return format(filled, { parser: 'markdown', printWidth: 100 });
};

/** Reads the page from its file. */
export const readPage = (): string => readFileSync(OPERATING_PAGE, 'utf8');
