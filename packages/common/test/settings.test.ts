import { expect } from 'chai';
import {
  agentSettingsSchema,
  describeKeys,
  entrySettingsSchema,
  formatFault,
  parseSettings,
  readSettings,
} from '../src/index.js';

const faultsOf = (text: string): string[] => {
  const result = parseSettings(text, entrySettingsSchema);
  return result.ok ? [] : result.err.map((fault) => formatFault('entry.jsonc', fault));
};

describe('settings', () => {
  it('names key, found value, expectation, default, unit and line of every fault', () => {
    const text = `{
  // an entry in Kent
  "node": { "name": "kent-e1", "dataCentre": "kent" },
  "callers": { "port": 99999 },
  "link": { "port": 1, "hots": "127.0.0.1" },
  "platform": { "logUrl": "kafka", "vmListUrl": "http://127.0.0.1:1/vms" },
  "limits": { "bodyBytes": "1 MB", "queue": 0 },
}`;
    expect(faultsOf(text)).toMatchSnapshot();
  });

  it('names the line of a syntax fault', () => {
    expect(faultsOf('{\n  "node": {\n    "name" "kent-e1"\n  }\n}')).toMatchSnapshot();
  });

  it('reports a missing file as a catalogue error', () => {
    expect(() => readSettings('no-such-file.jsonc', entrySettingsSchema)).to.throw(
      'no-such-file.jsonc cannot be read',
    );
  });

  it('fills in defaults', () => {
    const text = `{
  "node": { "name": "n", "dataCentre": "kent", "region": "northwest" },
  "callers": { "port": 0 }, "link": { "port": 0 },
  "operators": { "port": 0, "token": "12345678" },
  "platform": { "logUrl": "http://127.0.0.1:1", "vmListUrl": "http://127.0.0.1:1/vms" }
}`;
    expect(parseSettings(text, entrySettingsSchema)).toMatchSnapshot();
  });

  it('describes every key of both schemas for the operators', () => {
    expect(describeKeys(entrySettingsSchema)).toMatchSnapshot();
    const agent = describeKeys(agentSettingsSchema).filter(({ key }) => key.startsWith('upstream'));
    expect(agent).toMatchSnapshot();
    const missing = [...describeKeys(entrySettingsSchema), ...agent].filter(
      ({ description }) => description === '',
    );
    expect(missing).to.deep.equal([]);
  });
});
