/**
 * Runs the bundled programs with the code cache that was written for the role's flags, so that a start doesn't compile
 * them. The runtime rejects a cache of another version or of other flags, and compiles as usual then.
 */
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const process = require('node:process');
const { Script } = require('node:vm');
const { wrap } = require('node:module');

const { path: folder } = module;
const filename = join(folder, 'programs.cjs');
const cachePath = join(folder, `programs.${process.argv[2]}.cache`);
const cachedData = existsSync(cachePath) ? readFileSync(cachePath) : undefined;
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData });
script.runInThisContext()(exports, require, module, filename, folder);
