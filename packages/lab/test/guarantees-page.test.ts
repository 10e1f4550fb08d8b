import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect } from 'chai';
import { repositoryRoot } from '../src/harness/child.js';

const PROOF = /`((?:\.\.\/)?[a-z-]+\/test\/[\w./-]+\.test\.ts): ([^`]+)`/g;

interface Proof {
  file: string;
  title: string;
}

const findProofs = (page: string): Proof[] =>
  [...page.matchAll(PROOF)].map(([, file = '', title = '']) => ({ file, title }));

const proofExists = ({ file, title }: Proof): boolean => {
  const path = join(repositoryRoot, 'packages', file);
  return existsSync(path) && readFileSync(path, 'utf8').includes(title);
};

describe('the page of guarantees', () => {
  const page = readFileSync(join(repositoryRoot, 'docs/GUARANTEES.md'), 'utf8');
  const rows = page.split('\n').filter((line) => /\| (proved|partial|not run) +\|/.test(line));

  it('names tests that exist', () => {
    const missing = findProofs(page).filter((proof) => !proofExists(proof));
    expect(missing).to.deep.equal([]);
  });

  it('names a test for every guarantee that it calls proved', () => {
    expect(rows.length).to.be.at.least(15);
    const unproved = rows.filter(
      (row) => /\| proved +\|/.test(row) && findProofs(row).length === 0,
    );
    expect(unproved).to.deep.equal([]);
  });
});
