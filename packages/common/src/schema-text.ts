import { z } from 'zod';

/** The parts of a JSON schema that messages and tables use. */
interface SchemaNode {
  type?: string;
  description?: string;
  unit?: string;
  format?: string;
  pattern?: string;
  default?: unknown;
  enum?: unknown[];
  minimum?: number;
  maximum?: number;
  exclusiveMinimum?: number;
  minLength?: number;
  properties?: Record<string, SchemaNode>;
  required?: string[];
  additionalProperties?: SchemaNode | boolean;
  items?: SchemaNode;
}

/** One key of a settings schema, for the operator documentation. */
export interface KeyDescription {
  /** Dotted key; `*` stands for a name chosen by operators. */
  key: string;
  expected: string;
  /** The default as JSON; omitted if there is none. */
  standard?: string;
  required: boolean;
  description: string;
}

const toJsonSchema = (schema: z.ZodType): SchemaNode =>
  z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;

const join = (names: string[]): string => names.join(', ');

const rangeText = (node: SchemaNode): string => {
  const minimum = node.minimum ?? node.exclusiveMinimum;
  const comparison = node.minimum === undefined ? 'above' : 'at least';
  const hasMaximum = node.maximum !== undefined && node.maximum < Number.MAX_SAFE_INTEGER;
  if (minimum !== undefined && hasMaximum) return ` from ${minimum} to ${node.maximum}`;
  if (hasMaximum) return ` of at most ${node.maximum}`;
  return minimum === undefined || minimum <= Number.MIN_SAFE_INTEGER
    ? ''
    : ` ${comparison} ${minimum}`;
};

const stringText = (node: SchemaNode): string => {
  if (node.format === 'uri') return 'an address (URL)';
  if (node.pattern !== undefined) return `a text that matches ${node.pattern}`;
  if (node.minLength === 1) return 'a text, not empty';
  if (node.minLength !== undefined) return `a text of at least ${node.minLength} characters`;
  return 'a text';
};

const objectText = (node: SchemaNode): string => {
  if (node.properties === undefined) return 'an object';
  return `an object with ${join(Object.keys(node.properties))}`;
};

const typeText = (node: SchemaNode): string => {
  if (node.enum !== undefined) return `one of ${join(node.enum.map((it) => JSON.stringify(it)))}`;
  if (node.type === 'integer') return `a whole number${rangeText(node)}`;
  if (node.type === 'number') return `a number${rangeText(node)}`;
  if (node.type === 'boolean') return 'true or false';
  if (node.type === 'string') return stringText(node);
  if (node.type === 'array') return `a list, each ${node.items ? typeText(node.items) : 'a value'}`;
  return objectText(node);
};

const defaultTextOf = (node: SchemaNode): string | undefined =>
  node.default === undefined || node.type === 'object' ? undefined : JSON.stringify(node.default);

const typeAndUnit = (node: SchemaNode): string =>
  node.unit === undefined ? typeText(node) : `${typeText(node)} (${node.unit})`;

const expectation = (node: SchemaNode): string => {
  const defaultText = defaultTextOf(node);
  return defaultText === undefined
    ? typeAndUnit(node)
    : `${typeAndUnit(node)}, default ${defaultText}`;
};

const childOf = (node: SchemaNode | undefined, key: string | number): SchemaNode | undefined => {
  if (typeof key === 'number') return node?.items;
  const named = node?.properties?.[key];
  if (named) return named;
  return typeof node?.additionalProperties === 'object' ? node.additionalProperties : undefined;
};

/** Type, range, unit and default that a schema expects at a path; undefined for unknown paths. */
export const expectedAt = (schema: z.ZodType, path: (string | number)[]): string | undefined => {
  const node = path.reduce<SchemaNode | undefined>(childOf, toJsonSchema(schema));
  return node && expectation(node);
};

/** The named children of an object, and `*` for names chosen by operators, each with whether it is required. */
const childrenOf = (node: SchemaNode): [string, SchemaNode, boolean][] => {
  const named = Object.entries(node.properties ?? {}).map(
    ([name, child]): [string, SchemaNode, boolean] => [
      name,
      child,
      node.required?.includes(name) ?? false,
    ],
  );
  const additional = node.additionalProperties;
  return typeof additional === 'object' ? [...named, ['*', additional, false]] : named;
};

const describeLeaf = (key: string, node: SchemaNode, required: boolean): KeyDescription => {
  const defaultText = defaultTextOf(node);
  return {
    key,
    expected: typeAndUnit(node),
    ...(defaultText === undefined ? {} : { standard: defaultText }),
    required,
    description: node.description ?? '',
  };
};

const describeNode = (node: SchemaNode, prefix: string): KeyDescription[] =>
  childrenOf(node).flatMap(([name, child, required]) =>
    childrenOf(child).length > 0
      ? describeNode(child, `${prefix}${name}.`)
      : [describeLeaf(`${prefix}${name}`, child, required)],
  );

/** Describes every key of a schema, in the schema's order. */
export const describeKeys = (schema: z.ZodType): KeyDescription[] =>
  describeNode(toJsonSchema(schema), '');
