import { expect } from 'chai';
import { after } from 'mocha';
import type { CallSpec } from '../src/harness/caller.js';
import { createForwarder } from '../src/harness/forwarder.js';
import type { Forwarder } from '../src/harness/forwarder.js';
import { createLinkRecorder } from '../src/harness/link-recorder.js';
import type { Deployment } from '../src/harness/small-site.js';
import { smallSite } from '../src/harness/small-site.js';
import { completion, exampleKey } from '../src/harness/traffic.js';
import { recordSession } from './support/session.js';
import { useSite } from './support/site.js';

type NamedCall = [string, Omit<CallSpec, 'url'>];

const dealer = exampleKey('rainier-remarketing');
const exportCall = {
  path: '/exports/sale-12',
  key: dealer,
  body: { sale: 12 },
  idempotencyKey: 'export-12',
};
const liveSale: NamedCall[] = [
  [
    'a condition summary, streamed',
    {
      key: dealer,
      ...completion({ model: 'lot-writer', prompt: 'lot 7', maxTokens: 5, stream: true }),
    },
  ],
  [
    'a reply to a bidder, not streamed',
    {
      key: exampleKey('harbor-wholesale'),
      class: 'live-reply',
      ...completion({ model: 'lot-writer', prompt: 'mileage?', maxTokens: 4, stream: false }),
    },
  ],
  ['a bid-sheet export', exportCall],
  ['the same export again', exportCall],
  ['the same key for another export', { ...exportCall, body: { sale: 13 } }],
  ['a title check', { path: '/title-checks/vin-9', key: dealer, body: { vin: 9 } }],
  ['a key that nobody has', { path: '/title-checks/vin-9', key: 'stranger', body: {} }],
  [
    'a model that nobody serves',
    {
      key: dealer,
      ...completion({ model: 'other', prompt: 'x', maxTokens: 1, stream: false }),
    },
  ],
];

const studio = exampleKey('duna-digital');
const hook = {
  path: '/approvals/release-4',
  key: studio,
  body: { approved: true },
  idempotencyKey: 'release-4',
};
const release: NamedCall[] = [
  [
    'a diff verdict, streamed, with a key',
    {
      key: studio,
      idempotencyKey: 'verdict-4',
      ...completion({ model: 'visual-reviewer', prompt: 'page 4', maxTokens: 5, stream: true }),
    },
  ],
  [
    'a triage summary, not streamed',
    {
      key: exampleKey('kalapacs-kod'),
      ...completion({ model: 'visual-reviewer', prompt: 'triage', maxTokens: 4, stream: false }),
    },
  ],
  ['a status ping', { path: '/pings/build-4', key: studio }],
  ['an approval hook', hook],
  ['the same approval again', hook],
  ['a class that does not exist', { path: '/pings/build-5', key: studio, class: 'urgent' }],
  ['a path without a route', { path: '/elsewhere', key: studio }],
];

const goldenSession = (deployment: Deployment, calls: NamedCall[]): void => {
  describe(`a whole session of ${deployment}`, () => {
    const recorder = createLinkRecorder();
    const forwarders: Forwarder[] = [];
    const site = useSite(() => ({
      ...smallSite(deployment),
      listedLink: async (name, link) => {
        const forwarder = await createForwarder(link, recorder.tap(name));
        forwarders.push(forwarder);
        return forwarder.address;
      },
    }));
    after(async () => {
      await Promise.all(forwarders.map((forwarder) => forwarder.close()));
    });

    it('is the same on every run', async () => {
      const { url } = site().entry(0);
      const specs = calls.map(([name, spec]): [string, CallSpec] => [name, { ...spec, url }]);
      expect(await recordSession(specs, recorder.frames)).toMatchSnapshot();
    });
  });
};

describe('golden sessions', () => {
  goldenSession('cascade-lotline', liveSale);
  goldenSession('magyar-vizualis', release);
});
