import { readFileSync } from 'node:fs';
import type { SettingsFault } from '@plantaindrum/common';
import {
  agentSettingsSchema,
  entrySettingsSchema,
  exitCodes,
  formatFault,
  parseSettings,
  PlantaindrumError,
} from '@plantaindrum/common';
import { intentDocumentSchema } from '@plantaindrum/intent';
import type { Command } from '../command.js';

/** Kinds of files that `check` validates. */
export type FileKind = 'entry' | 'agent' | 'intent';

const schemas = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  intent: intentDocumentSchema,
};

const readText = (file: string): string => {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw new PlantaindrumError('file-unreadable', { file, detail }, { cause: err });
  }
};

/** Only agent settings have an `upstream` key; intent files have none of the keys of an entry. */
const detectKind = (text: string): FileKind => {
  if (/"upstream"\s*:/.test(text)) return 'agent';
  return /"(node|platform|callers|link)"\s*:/.test(text) ? 'entry' : 'intent';
};

const validate = (text: string, kind: FileKind): SettingsFault[] => {
  const parsed = parseSettings(text, schemas[kind]);
  return parsed.ok ? [] : parsed.err;
};

/** `plantaindrum check FILE`: validates a settings or intent file without contacting a node. */
export const checkCommand: Command<{ file: string; kind?: string }> = {
  command: 'check <file>',
  describe: "Validate settings or an operators' intent file",
  builder: (args) =>
    args
      .positional('file', { type: 'string', demandOption: true, describe: 'JSON with comments' })
      .option('kind', {
        choices: Object.keys(schemas),
        describe: 'What the file holds; default: found out from its keys',
      }),
  run: async ({ file, kind }, io) => {
    const text = readText(file);
    const fileKind = (kind as FileKind | undefined) ?? detectKind(text);
    const faults = validate(text, fileKind);
    faults.forEach((fault) => io.err(formatFault(file, fault)));
    if (faults.length > 0) return exitCodes.invalid;
    io.out(`${file}: valid (${fileKind})`);
    return exitCodes.ok;
  },
};
