import { readFileSync } from 'node:fs';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import type { z } from 'zod';
import { PlantaindrumError } from './errors/plantaindrum-error.js';
import type { Result } from './result.js';
import { fail, ok } from './result.js';
import { expectedAt } from './schema-text.js';

/** One fault in a settings file. */
export interface SettingsFault {
  /** Dotted key, for example `callers.port`. */
  key: string;
  /** The value found, as JSON; `nothing` if the key is missing. */
  found: string;
  /** Type, range, unit and default of the key. */
  expected: string;
  /** Line number in the file, starting at 1. */
  line: number;
}

type Path = (string | number)[];

const SYNTAX_KEY = '(syntax)';
const ROOT_KEY = '(root)';

const lineAt = (text: string, offset: number): number => text.slice(0, offset).split('\n').length;

const foundText = (value: unknown): string =>
  value === undefined ? 'nothing' : JSON.stringify(value);

const offsetOf = (text: string, path: Path): number => {
  const tree = parseTree(text);
  for (let length = path.length; tree && length >= 0; length -= 1) {
    const found = findNodeAtLocation(tree, path.slice(0, length))?.offset;
    if (found !== undefined) return found;
  }
  return 0;
};

const getValueAt = (document: unknown, path: Path): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    document,
  );

const syntaxFault = (text: string, err: ParseError): SettingsFault => ({
  key: SYNTAX_KEY,
  found: printParseErrorCode(err.error),
  expected: 'JSON with comments',
  line: lineAt(text, err.offset),
});

/** The paths of an issue; a strict object reports all its unknown keys in one issue. */
const pathsOf = (issue: z.core.$ZodIssue): Path[] => {
  const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
  return issue.code === 'unrecognized_keys' ? issue.keys.map((key) => [...path, key]) : [path];
};

const expectedText = (schema: z.ZodType, path: Path, issue: z.core.$ZodIssue): string => {
  if (issue.code === 'custom') return issue.message;
  if (issue.code !== 'unrecognized_keys') return expectedAt(schema, path) ?? issue.message;
  return `no such key; ${expectedAt(schema, path.slice(0, -1)) ?? 'another object'}`;
};

/** Parses JSON with comments and validates it against a schema; reports every fault. */
export const parseSettings = <S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.infer<S>, SettingsFault[]> => {
  const errors: ParseError[] = [];
  const document: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) return fail(errors.map((err) => syntaxFault(text, err)));
  const validated = schema.safeParse(document);
  if (validated.success) return ok(validated.data);
  return fail(
    validated.error.issues.flatMap((issue) =>
      pathsOf(issue).map((path) => ({
        key: path.join('.') || ROOT_KEY,
        found: foundText(getValueAt(document, path)),
        expected: expectedText(schema, path, issue),
        line: lineAt(text, offsetOf(text, path)),
      })),
    ),
  );
};

/** Reads a settings file; see `parseSettings`. Throws a `PlantaindrumError` if it can't be read. */
export const readSettings = <S extends z.ZodType>(file: string, schema: S) => {
  try {
    return parseSettings(readFileSync(file, 'utf8'), schema);
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw new PlantaindrumError('file-unreadable', { file, detail }, { cause: err });
  }
};

/** Formats a fault in one line: file, line, key, value found and value expected. */
export const formatFault = (file: string, fault: SettingsFault): string =>
  fault.key === SYNTAX_KEY
    ? `${file}:${fault.line}: ${fault.found}, expected ${fault.expected}`
    : `${file}:${fault.line}: ${fault.key} is ${fault.found}, expected ${fault.expected}`;
