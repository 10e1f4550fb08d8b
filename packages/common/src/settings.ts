import { z } from 'zod';

/** What an operator reads about a key; the unit also stands in messages about its value. */
const about = (description: string, unit?: string) =>
  unit === undefined ? { description } : { description, unit };

const limit = (standard: number, description: string, unit: string) =>
  z.number().int().positive().default(standard).meta(about(description, unit));

const count = (description: string, unit: string) =>
  z.number().int().positive().meta(about(description, unit));

const addressSchema = z.strictObject({
  host: z.string().default('127.0.0.1').meta(about('IP number to listen on.')),
  port: z.number().int().min(0).max(65535).meta(about('TCP port; 0 takes a free one.')),
});

const operatorsSchema = addressSchema.extend({
  token: z.string().min(8).meta(about('Bearer token that operators present.')),
});

const nodeSchema = z.strictObject({
  name: z.string().min(1).meta(about("Name of this VM in the platform's list.")),
  dataCentre: z.string().min(1).meta(about('Data centre of this VM.')),
  region: z.string().min(1).meta(about('Region of this VM.')),
});

const platformSchema = z.strictObject({
  logUrl: z.url().meta(about('Base address of the log service (Kafka REST).')),
  vmListUrl: z.url().meta(about('Address of the VM list (Prometheus HTTP service discovery).')),
  logRetentionMs: limit(86_400_000, 'How long the log service keeps a record.', 'ms'),
  weightsUrl: z.url().optional().meta(about('Base address of the weight store.')),
});

const limitsSchema = z
  .strictObject({
    bodyBytes: limit(1_048_576, 'Largest request body.', 'bytes'),
    headerBytes: limit(16_384, 'Largest request header.', 'bytes'),
    frameBytes: limit(2_097_152, 'Largest frame on a link.', 'bytes'),
    connections: limit(4_096, 'Most open connections at one door.', 'connections'),
    queue: limit(1_024, "Most requests waiting in an agent's queue.", 'requests'),
    concurrency: limit(32, 'Most requests that an agent hands to its upstream.', 'requests'),
  })
  .prefault({});

/** Shape of an expert group; an agent without it never coordinates its group. */
const layoutSchema = z.strictObject({
  rankCount: count('Ranks of the group.', 'ranks'),
  layers: count('Layers with experts.', 'layers'),
  experts: count('Experts in each layer.', 'experts'),
  slots: count("Replicas that one rank's memory holds in each layer.", 'replicas'),
  bytesPerExpert: limit(50_000_000, "Size of one expert's weights in one layer.", 'bytes'),
  planMs: limit(60_000, 'Time between two looks at whether the group should be balanced.', 'ms'),
});

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  node: nodeSchema,
  callers: addressSchema.meta(about("The callers' door.")),
  operators: operatorsSchema.meta(about("The operators' door: metrics, status, readiness.")),
  link: addressSchema.meta(about('Where peers connect to this node.')),
  platform: platformSchema,
  limits: limitsSchema,
});

/** Settings of an agent process. */
export const agentSettingsSchema = z.strictObject({
  node: nodeSchema,
  link: addressSchema.meta(about('Where peers connect to this node.')),
  operators: operatorsSchema.meta(about("The operators' door: metrics, status, readiness.")),
  upstream: z.strictObject({
    kind: z.enum(['model', 'service']).meta(about('A model engine or a plain service.')),
    url: z.url().meta(about('Address of the engine or service beside this agent.')),
    group: z.string().optional().meta(about('Expert group whose ranks this upstream serves.')),
    ranks: z.array(z.number().int().min(0)).default([]).meta(about('Ranks of that group.')),
    layout: layoutSchema.optional(),
  }),
  platform: platformSchema,
  limits: limitsSchema,
});

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
