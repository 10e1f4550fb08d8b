#!/usr/bin/env node
import process from 'node:process';
import { main } from '../dist/cli/main.js';

await main(process.argv.slice(2));
