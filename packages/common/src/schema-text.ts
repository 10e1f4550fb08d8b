import { z } from 'zod';

/** The part of a JSON schema that messages and tables are made from. */
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

/** One key of a schema, for the operators' page. */
export interface KeyDescription {
  /** Dotted key; `*` stands for a name that operators choose. */
  key: string;
  expected: string;
  /** The default as JSON; absent when there is none. */
  standard?: string;
  required: boolean;
  description: string;
}

const toNode = (schema: z.ZodType): SchemaNode =>
  z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;

const list = (names: string[]): string => names.join(', ');

const rangeText = (node: SchemaNode): string => {
  const lowest = node.minimum ?? node.exclusiveMinimum;
  const above = node.minimum === undefined ? 'above' : 'at least';
  const bounded = node.maximum !== undefined && node.maximum < Number.MAX_SAFE_INTEGER;
  if (lowest !== undefined && bounded) return ` from ${lowest} to ${node.maximum}`;
  if (bounded) return ` of at most ${node.maximum}`;
  return lowest === undefined || lowest <= Number.MIN_SAFE_INTEGER ? '' : ` ${above} ${lowest}`;
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
  return `an object with ${list(Object.keys(node.properties))}`;
};

const typeText = (node: SchemaNode): string => {
  if (node.enum !== undefined) return `one of ${list(node.enum.map((it) => JSON.stringify(it)))}`;
  if (node.type === 'integer') return `a whole number${rangeText(node)}`;
  if (node.type === 'number') return `a number${rangeText(node)}`;
  if (node.type === 'boolean') return 'true or false';
  if (node.type === 'string') return stringText(node);
  if (node.type === 'array') return `a list, each ${node.items ? typeText(node.items) : 'a value'}`;
  return objectText(node);
};

const standardOf = (node: SchemaNode): string | undefined =>
  node.default === undefined || node.type === 'object' ? undefined : JSON.stringify(node.default);

const withUnit = (node: SchemaNode): string =>
  node.unit === undefined ? typeText(node) : `${typeText(node)} (${node.unit})`;

const expectedOf = (node: SchemaNode): string => {
  const standard = standardOf(node);
  return standard === undefined ? withUnit(node) : `${withUnit(node)}, default ${standard}`;
};

const childOf = (node: SchemaNode | undefined, key: string | number): SchemaNode | undefined => {
  if (typeof key === 'number') return node?.items;
  const named = node?.properties?.[key];
  if (named) return named;
  return typeof node?.additionalProperties === 'object' ? node.additionalProperties : undefined;
};

/** What a schema expects at a path: type, range, unit and default; undefined off the schema. */
export const expectedAt = (schema: z.ZodType, path: (string | number)[]): string | undefined => {
  const node = path.reduce<SchemaNode | undefined>(childOf, toNode(schema));
  return node && expectedOf(node);
};

/** The named children of an object, and `*` for names that operators choose. */
const childrenOf = (node: SchemaNode): [string, SchemaNode, boolean][] => {
  const named = Object.entries(node.properties ?? {}).map(
    ([name, child]): [string, SchemaNode, boolean] => [
      name,
      child,
      node.required?.includes(name) ?? false,
    ],
  );
  const chosen = node.additionalProperties;
  return typeof chosen === 'object' ? [...named, ['*', chosen, false]] : named;
};

const describeLeaf = (key: string, node: SchemaNode, required: boolean): KeyDescription => {
  const standard = standardOf(node);
  return {
    key,
    expected: withUnit(node),
    ...(standard === undefined ? {} : { standard }),
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

/** Every key of a schema, in its order. */
export const describeKeys = (schema: z.ZodType): KeyDescription[] =>
  describeNode(toNode(schema), '');
