import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect } from 'chai';
import { metricHelp } from '@plantaindrum/common';
import { readPage, renderPage } from '../src/docs/operating-page.js';
import { repositoryRoot } from '../src/harness/child.js';

const packages = join(repositoryRoot, 'packages');
const shipped = [
  'agent',
  'common',
  'experts',
  'gateway',
  'intent',
  'link',
  'mirror',
  'plantaindrum',
  'rank-groups',
  'requests',
  'service-clients',
];
const METRIC = /metrics\s*\??\.(?:count|gauge|record)\(\s*'([a-z_]+)'/g;

const readSources = (name: string): string[] => {
  const folder = join(packages, name, 'src');
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => readFileSync(join(folder, file), 'utf8'));
};

describe("the operators' page", () => {
  it('has the tables that are generated from the code (npm run docs)', async () => {
    expect(readPage()).to.equal(await renderPage());
  });

  it('explains every reason for which an entry makes no further attempt', () => {
    const types = readSources('requests').find((text) =>
      text.includes('export type NoRetryReason'),
    );
    const union = /export type NoRetryReason =([^;]+);/.exec(types ?? '')?.[1] ?? '';
    const reasons = [...union.matchAll(/'([a-z-]+)'/g)].map(([, reason]) => reason ?? '');
    expect(reasons).to.have.length.at.least(6);
    expect(reasons.filter((reason) => !readPage().includes(`\`${reason}\``))).to.be.empty;
  });

  it('explains every metric that the code records', () => {
    const recorded = shipped
      .flatMap(readSources)
      .flatMap((text) => [...text.matchAll(METRIC)].map(([, name]) => name ?? ''));
    const unexplained = recorded.filter((name) => !Object.hasOwn(metricHelp, name));
    expect(unexplained).to.deep.equal([]);
  });
});
