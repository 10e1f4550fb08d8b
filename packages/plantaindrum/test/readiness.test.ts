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

  // While the log is down, an entry with reachable peers stays ready: the intent can't change, and
  // an
  // outage of the log must not become an outage for callers. An entry that reaches nobody may be
  // the
  // only one cut off, so it fails its probe, but still serves the requests that arrive.
  it('fails when neither the log nor a peer confirms the intent, but requests are accepted', () => {
    expect(checkReadiness('fresh')).to.deep.equal({ ready: true, takesCalls: true });
    expect(checkReadiness('stale')).to.deep.equal({ ready: true, takesCalls: true });
    expect(checkReadiness('isolated')).to.deep.equal({ ready: false, takesCalls: true });
    expect(checkReadiness('starting')).to.deep.equal({ ready: false, takesCalls: false });
  });
});
