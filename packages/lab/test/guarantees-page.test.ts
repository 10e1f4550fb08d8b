import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect } from 'chai';
import { repositoryRoot } from '../src/harness/child.js';

const PROOF = /`([a-z-]+\/test\/[\w./-]+\.test\.ts): ([^`]+)`/g;

interface Proof {
  file: string;
  title: string;
}

const proofsOf = (page: string): Proof[] =>
  [...page.matchAll(PROOF)].map(([, file = '', title = '']) => ({ file, title }));

const isThere = ({ file, title }: Proof): boolean => {
  const path = join(repositoryRoot, 'packages', file);
  return existsSync(path) && readFileSync(path, 'utf8').includes(title);
};

describe('the page of guarantees', () => {
  const page = readFileSync(join(repositoryRoot, 'docs/GUARANTEES.md'), 'utf8');
  const rows = page.split('\n').filter((line) => /\| (proved|partial|not run) +\|/.test(line));

  it('names proofs that exist', () => {
    const missing = proofsOf(page).filter((proof) => !isThere(proof));
    expect(missing).to.deep.equal([]);
  });

  it('claims nothing as proved without a proof', () => {
    expect(rows.length).to.be.at.least(15);
    const bare = rows.filter((row) => /\| proved +\|/.test(row) && proofsOf(row).length === 0);
    expect(bare).to.deep.equal([]);
  });
});
