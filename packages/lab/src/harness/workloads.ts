import type { TrafficContext, TrafficKind } from './traffic.js';
import { completion } from './traffic.js';

const DEALERS = [
  'rainier-remarketing',
  'skagit-auto-group',
  'ballard-motors',
  'cedar-river-autos',
  'harbor-wholesale',
  'mount-si-motors',
  'salmon-bay-autos',
];

const STUDIOS = [
  'duna-digital',
  'balaton-web',
  'arany-pixel',
  'csillag-studio',
  'fecske-labor',
  'mozaik-muhely',
];

/** Prompts of one organisation share a prefix, as real ones share the organisation's instructions. */
const buildPrompt = (task: string, { organisation, n }: TrafficContext): string =>
  [...Array<string>(8).fill(`${organisation} instructions for ${task}.`), `Item ${n}.`].join(' ');

const generationCall =
  (model: string, task: string, maxTokens: number, stream: boolean) => (context: TrafficContext) =>
    completion({ model, prompt: buildPrompt(task, context), maxTokens, stream });

/** A call to a plain service; its path is unique, so that the service's counts show how often it ran. */
const serviceCall = (prefix: string, keyed: boolean) => (context: TrafficContext) => {
  const name = `${context.run}-${context.n}`;
  return {
    path: `${prefix}/${name}`,
    body: { organisation: context.organisation, item: context.n },
    ...(keyed ? { idempotencyKey: name } : {}),
  };
};

/** Traffic of live sales: summaries, replies, drafts, exports and title checks. */
export const liveSaleTraffic: TrafficKind[] = [
  {
    class: 'live-summary',
    organisations: DEALERS,
    perSecond: 8,
    make: generationCall('lot-writer', 'condition summaries', 24, true),
  },
  {
    class: 'live-reply',
    organisations: DEALERS,
    perSecond: 6,
    make: generationCall('lot-writer', 'bidder replies', 12, false),
  },
  {
    class: 'lot-draft',
    organisations: ['orchard-cars', 'yakima-trade-ins'],
    perSecond: 2,
    make: generationCall('lot-writer', 'lot descriptions', 48, true),
  },
  {
    class: 'bid-sheet-export',
    organisations: DEALERS,
    perSecond: 3,
    make: serviceCall('/exports', true),
  },
  {
    class: 'title-check',
    organisations: DEALERS,
    perSecond: 5,
    make: serviceCall('/title-checks', false),
  },
];

/** Traffic of release reviews: verdicts, triage, notes, status pings and approval hooks. */
export const releaseTraffic: TrafficKind[] = [
  {
    class: 'diff-verdict',
    organisations: STUDIOS,
    perSecond: 8,
    make: generationCall('visual-reviewer', 'diff verdicts', 24, true),
  },
  {
    class: 'triage-summary',
    organisations: ['kalapacs-kod', 'duna-digital'],
    perSecond: 3,
    make: generationCall('visual-reviewer', 'triage summaries', 32, false),
  },
  {
    class: 'baseline-note',
    organisations: ['zold-ablak', 'balaton-web'],
    perSecond: 1,
    make: generationCall('visual-reviewer', 'baseline notes', 48, true),
  },
  {
    class: 'status-ping',
    organisations: STUDIOS,
    perSecond: 10,
    make: ({ run, n }) => ({ path: `/pings/${run}-${n}` }),
  },
  {
    class: 'approval-hook',
    organisations: STUDIOS,
    perSecond: 4,
    make: serviceCall('/approvals', true),
  },
];
