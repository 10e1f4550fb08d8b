import { expect } from 'chai';
import { entrySettingsSchema, parseSettings } from '../src/settings.js';

describe('settings', () => {
  it('names key, found value, expectation and line of every fault', () => {
    const text = `{
  // an entry in Kent
  "node": { "name": "kent-e1", "dataCentre": "kent" },
  "callers": { "port": 99999 },
}`;
    const result = parseSettings(text, entrySettingsSchema);
    expect(result).toMatchSnapshot();
  });
});
