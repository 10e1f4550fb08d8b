/** Writes the code cache of the bundle in the folder given first, for the role given second and this process's flags. */
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const process = require('node:process');
const { Script } = require('node:vm');
const { setFlagsFromString } = require('node:v8');
const { wrap } = require('node:module');

const [folder, role] = process.argv.slice(2);
const filename = join(folder, 'programs.cjs');
// All functions are compiled, not only those that run while the script is loaded. The flag is set back because a cache
// is only accepted by a process with the same flags.
setFlagsFromString('--no-lazy');
const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename });
setFlagsFromString('--lazy');
writeFileSync(join(folder, `programs.${role}.cache`), script.createCachedData());
