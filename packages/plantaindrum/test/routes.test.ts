import { expect } from 'chai';
import { intentDocumentSchema } from '@plantaindrum/intent';
import { findRoute } from '../src/core/callers/identify.js';

describe('routes', () => {
  const route = (pathPrefix: string) => ({ pathPrefix, service: pathPrefix, class: 'c' });
  const document = intentDocumentSchema.parse({
    routes: { exports: route('/exports'), checks: route('/exports/checks/') },
  });
  const prefixOf = (path: string) => findRoute(document, path)?.pathPrefix;

  it('match whole path segments, longest prefix first', () => {
    const paths = ['/exports', '/exports/7', '/exports?a=1', '/exports/checks/1', '/exports-old'];
    expect(paths.map(prefixOf)).to.deep.equal([
      ...['/exports', '/exports', '/exports', '/exports/checks/', undefined],
    ]);
  });
});
