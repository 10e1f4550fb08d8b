/** Entry point of the model server stand-in; its settings are in an environment variable. */

import { MODEL_SERVER_VARIABLE, runModelServer } from './model-server.js';
import type { ModelServerSettings } from './model-server.js';

runModelServer(JSON.parse(process.env[MODEL_SERVER_VARIABLE] ?? '') as ModelServerSettings);
