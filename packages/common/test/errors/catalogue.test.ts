import { expect } from 'chai';
import {
  PlantaindrumError,
  commandErrors,
  fileErrors,
  formatError,
  refusalBody,
  refusalEvent,
  refusalHeaders,
  refusalStatus,
  refusals,
} from '../../src/index.js';
import type { ErrorData, RefusalReason } from '../../src/index.js';

const data: ErrorData = {
  class: 'live-sale',
  upstream: 'summaries',
  dataCentre: 'kent',
  method: 'GET',
  path: '/exports/7',
  limit: 1_024,
  detail: 'a detail',
  file: 'entry.jsonc',
  line: 4,
  key: 'callers.port',
  found: '99999',
  expected: 'a port',
  address: 'http://127.0.0.1:9',
  id: 'change-1',
};

const reasons = Object.keys(refusals) as RefusalReason[];

describe('error catalogue', () => {
  it('gives every refusal a status, an outcome, a message and a hint', () => {
    const texts = reasons.map((reason) => {
      const { error } = refusalBody({ reason, data });
      return `${refusalStatus({ reason })} ${reason} (${error.outcome}): ${error.title}. ${error.message} ${error.hint}`;
    });
    expect(texts).toMatchSnapshot();
  });

  it('builds every message without data, and never prints undefined', () => {
    const entries = { ...refusals, ...fileErrors, ...commandErrors };
    const texts = Object.values(entries).map((entry) => entry.message({}));
    expect(texts.filter((text) => text.includes('undefined'))).to.deep.equal([]);
  });

  it('maps unknown outcomes to 502, 504 or (for repeats) 409, and requests that did not run to other statuses', () => {
    const repeats = ['claim-key-expired', 'claim-lost', 'duplicate-in-progress', 'duplicate-known'];
    reasons.forEach((reason) => {
      const unknownStatuses = repeats.includes(reason) ? [409] : [502, 504];
      expect(unknownStatuses, reason).to.include(refusalStatus({ reason, outcome: 'unknown' }));
      expect([409, 502, 504], reason).to.not.include(refusalStatus({ reason, outcome: 'not-run' }));
    });
  });

  it('rounds Retry-After up to whole seconds, and never below one', () => {
    const retryAfter = (retryAfterMs: number) =>
      refusalHeaders({ reason: 'queue-full', retryAfterMs })['retry-after'];
    expect([0, 1, 1_000, 1_001, Infinity, NaN, -5].map(retryAfter)).to.deep.equal([
      '1',
      '1',
      '1',
      '2',
      '1',
      '1',
      '1',
    ]);
  });

  it('formats the error event of a broken stream with a single data line', () => {
    const event = refusalEvent({ reason: 'upstream-broke-off', data: { upstream: 'a\nb' } });
    expect(event).toMatchSnapshot();
    expect(event.split('\n')).to.have.length(4);
  });

  it('formats each command error with its name, title, message and hint', () => {
    const names = Object.keys({ ...fileErrors, ...commandErrors });
    const texts = names.map((name) => {
      const err = new PlantaindrumError(name as keyof typeof commandErrors, data);
      return `${formatError(err)}\n  (exit code ${err.exitCode})`;
    });
    expect(texts).toMatchSnapshot();
  });
});
