import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createReturnRamp, intentDocumentSchema, mayDispatch, nodeDuty } from '../src/index.js';

describe('stop and return of a data centre', () => {
  const documentWith = (state: 'serving' | 'stopped') =>
    intentDocumentSchema.parse({ dataCentres: { kent: { state } } });
  const stopped = documentWith('stopped');

  it('drains entries first and stops agents last', () => {
    const duty = (role: 'entry' | 'agent', inFlight: number, busyEntries = 0) =>
      nodeDuty({ role, dataCentre: 'kent', document: stopped, inFlight, busyEntries });
    expect([
      duty('entry', 2),
      duty('entry', 0),
      duty('agent', 0, 1),
      duty('agent', 3, 0),
      duty('agent', 0, 0),
    ]).to.deep.equal(['finish', 'idle', 'serve-last', 'finish', 'idle']);
    const elsewhere = { role: 'agent', dataCentre: 'lynnwood', inFlight: 0 } as const;
    expect(nodeDuty({ ...elsewhere, document: stopped })).to.equal('serve');
    expect(nodeDuty({ ...elsewhere, document: stopped, leaving: true })).to.equal('idle');
  });

  // The balancer in front needs some probes to notice that an entry is not ready, and sends callers
  // there until then. With a single data centre, its own upstreams are the only ones to serve them.
  it('sends new work to a stopping data centre from its own entries only', () => {
    expect(mayDispatch(stopped, 'lynnwood', 'kent')).to.equal(false);
    expect(mayDispatch(stopped, 'kent', 'kent')).to.equal(true);
    expect(mayDispatch(stopped, 'kent', 'lynnwood')).to.equal(true);
  });

  it('ramps up the share of a returning data centre', async () => {
    const clock = createManualClock();
    const ramp = createReturnRamp({ clock, random: () => 0.5, rampMs: 10_000 });
    const shares = [ramp.share('kent')];
    ramp.update(stopped);
    shares.push(ramp.share('kent'));
    ramp.update(documentWith('serving'));
    shares.push(ramp.share('kent'));
    expect(ramp.admits('kent')).to.equal(false);
    await clock.advance(5_000);
    shares.push(ramp.share('kent'));
    expect(ramp.admits('kent')).to.equal(true);
    await clock.advance(5_000);
    shares.push(ramp.share('kent'));
    expect(shares).to.deep.equal([1, 0, 0.1, 0.55, 1]);
  });
});
