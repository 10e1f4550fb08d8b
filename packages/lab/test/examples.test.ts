import { readdirSync } from 'node:fs';
import { agentSettingsSchema, entrySettingsSchema, readSettings } from '@plantaindrum/common';
import { expect } from 'chai';
import { repositoryRoot } from '../src/harness/child.js';
import { readIntentFile } from '../src/harness/operators.js';

const examples = `${repositoryRoot}examples`;
const files = readdirSync(examples, { recursive: true, encoding: 'utf8' }).sort();

describe('the examples', () => {
  files
    .filter((file) => file.endsWith('entry.jsonc') || file.endsWith('agent.jsonc'))
    .forEach((file) => {
      it(`${file} is valid`, () => {
        const schema = file.endsWith('entry.jsonc') ? entrySettingsSchema : agentSettingsSchema;
        const read = readSettings(`${examples}/${file}`, schema);
        expect(read.ok ? [] : read.err).to.deep.equal([]);
      });
    });

  files
    .filter((file) => file.endsWith('intent.jsonc'))
    .forEach((file) => {
      it(`${file} is valid, and its references resolve`, () => {
        const intent = readIntentFile(`${examples}/${file}`);
        const classes = Object.keys(intent.classes);
        Object.values(intent.organisations).forEach((organisation) =>
          expect(classes).to.include(organisation.defaultClass),
        );
        Object.values(intent.routes).forEach((route) => expect(classes).to.include(route.class));
        expect({
          mayNotRepeat: classes.filter((name) => intent.classes[name]?.mayNotRepeat),
          live: classes.filter((name) => intent.classes[name]?.priority === 'live'),
          organisations: Object.keys(intent.organisations).length,
          balance: intent.balance,
          dataCentres: Object.keys(intent.dataCentres),
        }).toMatchSnapshot();
      });
    });
});
