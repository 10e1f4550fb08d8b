import { expect } from 'chai';
import { createManualClock, silentLogger } from '@plantaindrum/common';
import { intentDocumentSchema } from '@plantaindrum/intent';
import type { IntentFreshness, IntentState } from '@plantaindrum/intent';
import { createReadiness } from '../src/core/entry/readiness.js';

describe('readiness of an entry', () => {
  const checkReadiness = (state: IntentState) => {
    const caughtUp = state !== 'starting';
    const freshness = (): IntentFreshness => ({ caughtUp, behind: 0, state });
    const document = intentDocumentSchema.parse({});
    const readiness = createReadiness({
      dataCentre: 'kent',
      intent: {
        current: () => ({ document, offset: 0, versions: {} }),
        freshness,
        onChange: () => () => {},
      },
      clock: createManualClock(),
      log: silentLogger,
      noticeMs: 1_000,
    });
    readiness.started();
    return { ready: !readiness.unready(), takesCalls: !readiness.newRequestRefusal() };
  };

  // The log is down. An entry whose peers answer stays ready: nobody can change the intent now, and
  // an outage of the log must not become one of the callers. An entry that hears nobody may be cut
  // off alone, so it lets the balancer move on, and still serves those who come.
  it('fails only where nobody can vouch for the intent, and serves on all the same', () => {
    expect(checkReadiness('fresh')).to.deep.equal({ ready: true, takesCalls: true });
    expect(checkReadiness('stale')).to.deep.equal({ ready: true, takesCalls: true });
    expect(checkReadiness('isolated')).to.deep.equal({ ready: false, takesCalls: true });
    expect(checkReadiness('starting')).to.deep.equal({ ready: false, takesCalls: false });
  });
});
