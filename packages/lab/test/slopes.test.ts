import { expect } from 'chai';
import { run } from '../src/experiments/slopes.js';
import { fitLine } from '../src/experiments/slopes/fit.js';

describe('the slopes experiment', () => {
  it('fits a line by least squares and says how well it fits', () => {
    const exact = [1, 2, 4].map((n) => ({ n, y: 3 + 2 * n }));
    expect(fitLine('peers', 'us', exact)).to.include({ slope: 2, intercept: 3, r2: 1 });
    const scattered = [1, 2, 3, 4].map((n) => ({ n, y: [1, 3, 2, 4][n - 1] ?? 0 }));
    expect(fitLine('peers', 'us', scattered)).to.include({ slope: 0.8, intercept: 0.5, r2: 0.64 });
  });

  it('gives every line its points and its fit', async () => {
    const { lines } = await run({ seed: 1, quick: true, print: () => {} });
    const names = Object.entries(lines).map(([name, { per, unit }]) => `${name}: ${unit} / ${per}`);
    expect(names).toMatchSnapshot();
    Object.values(lines).forEach((line) => {
      expect(line.points.length).to.be.at.least(2);
      expect([line.slope, line.intercept, line.r2].every(Number.isFinite)).to.equal(true);
    });
  }).timeout(60_000);
});
