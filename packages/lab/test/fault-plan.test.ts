import { expect } from 'chai';
import { planFaults } from '../src/experiments/faults/plan.js';

describe('plan of faults', () => {
  const options = { fromMs: 1_000, toMs: 20_000 };

  it('is the same for the same seed, and another for another', () => {
    const plan = planFaults({ ...options, seed: 1 });
    expect(planFaults({ ...options, seed: 1 })).to.deep.equal(plan);
    expect(planFaults({ ...options, seed: 2 })).not.to.deep.equal(plan);
  });

  it('has faults that overlap, each within the time', () => {
    const plan = planFaults({ ...options, seed: 1 });
    const overlapping = plan.filter(({ atMs }, n) =>
      plan.slice(0, n).some((before) => before.atMs + before.lastsMs > atMs),
    );
    expect(overlapping).to.have.length.above(plan.length / 2);
    expect(plan.every(({ atMs }) => atMs >= 1_000 && atMs < 20_000)).to.equal(true);
  });

  it('never strikes the log by two faults at a time', () => {
    const log = planFaults({ ...options, seed: 3 }).filter(({ target }) => target === 'log');
    log.slice(1).forEach(({ atMs }, n) => {
      expect(atMs).to.be.above((log[n]?.atMs ?? 0) + (log[n]?.lastsMs ?? 0));
    });
  });
});
