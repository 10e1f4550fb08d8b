import { z } from 'zod';

/** Description of a key for operators; messages about its value also show the unit. */
const metaOf = (description: string, unit?: string) =>
  unit === undefined ? { description } : { description, unit };

const optionalCount = (defaultValue: number, description: string, unit: string) =>
  z.number().int().positive().default(defaultValue).meta(metaOf(description, unit));

const requiredCount = (description: string, unit: string) =>
  z.number().int().positive().meta(metaOf(description, unit));

const addressSchema = z.strictObject({
  host: z.string().default('127.0.0.1').meta(metaOf('IP address to listen on.')),
  port: z.number().int().min(0).max(65535).meta(metaOf('TCP port; 0 selects a free one.')),
});

const operatorsSchema = addressSchema.extend({
  token: z.string().min(8).meta(metaOf('Bearer token that operators present.')),
});

const nodeSchema = z.strictObject({
  name: z.string().min(1).meta(metaOf("Name of this VM in the platform's list.")),
  dataCentre: z.string().min(1).meta(metaOf('Data centre of this VM.')),
  region: z.string().min(1).meta(metaOf('Region of this VM.')),
});

const platformSchema = z.strictObject({
  logUrl: z.url().meta(metaOf('Base address of the log service (Kafka REST).')),
  vmListUrl: z.url().meta(metaOf('Address of the VM list (Prometheus HTTP service discovery).')),
  logRetentionMs: optionalCount(86_400_000, 'How long the log service keeps a record.', 'ms'),
  weightsUrl: z.url().optional().meta(metaOf('Base address of the weight store.')),
});

const limitsSchema = z
  .strictObject({
    bodyBytes: optionalCount(1_048_576, 'Largest request body.', 'bytes'),
    headerBytes: optionalCount(16_384, 'Largest request header.', 'bytes'),
    frameBytes: optionalCount(2_097_152, 'Largest frame on a link.', 'bytes'),
    connections: optionalCount(
      4_096,
      'Maximum number of open connections of one server.',
      'connections',
    ),
    queue: optionalCount(1_024, "Maximum number of requests in an agent's queue.", 'requests'),
    concurrency: optionalCount(
      32,
      'Maximum number of requests that an agent runs at its upstream at once.',
      'requests',
    ),
  })
  .prefault({});

/** Dimensions of an expert group; an agent without them never coordinates its group. */
const layoutSchema = z.strictObject({
  rankCount: requiredCount('Ranks of the group.', 'ranks'),
  layers: requiredCount('Layers with experts.', 'layers'),
  experts: requiredCount('Experts in each layer.', 'experts'),
  slots: requiredCount("Replicas that one rank's memory holds in each layer.", 'replicas'),
  bytesPerExpert: optionalCount(50_000_000, "Size of one expert's weights in one layer.", 'bytes'),
  planMs: optionalCount(60_000, 'Interval between checks whether to rebalance the group.', 'ms'),
});

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  node: nodeSchema,
  callers: addressSchema.meta(metaOf('Address of the caller server.')),
  operators: operatorsSchema.meta(
    metaOf('Address of the operator server: metrics, status, readiness.'),
  ),
  link: addressSchema.meta(metaOf('Address for links from peers.')),
  platform: platformSchema,
  limits: limitsSchema,
});

/** Settings of an agent process. */
export const agentSettingsSchema = z.strictObject({
  node: nodeSchema,
  link: addressSchema.meta(metaOf('Address for links from peers.')),
  operators: operatorsSchema.meta(
    metaOf('Address of the operator server: metrics, status, readiness.'),
  ),
  upstream: z.strictObject({
    kind: z.enum(['model', 'service']).meta(metaOf('A model engine or a plain service.')),
    url: z.url().meta(metaOf('Address of the engine or service beside this agent.')),
    group: z.string().optional().meta(metaOf('Expert group whose ranks this upstream serves.')),
    ranks: z.array(z.number().int().min(0)).default([]).meta(metaOf('Ranks of that group.')),
    layout: layoutSchema.optional(),
  }),
  platform: platformSchema,
  limits: limitsSchema,
});

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
