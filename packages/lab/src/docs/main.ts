/** Writes the tables of docs/OPERATING.md (`npm run docs`). */

import { writeFileSync } from 'node:fs';
import { renderPage, OPERATING_PAGE } from './operating-page.js';

writeFileSync(OPERATING_PAGE, await renderPage());
