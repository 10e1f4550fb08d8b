/** Entry point of the stand-in of an upstream whose answers end as planned. */

import { ENDING_SERVER_VARIABLE, runEndingServer } from './ending-server.js';
import type { EndingServerSettings } from './ending-server.js';

runEndingServer(JSON.parse(process.env[ENDING_SERVER_VARIABLE] ?? '') as EndingServerSettings);
