import process from 'node:process';
import {driveLoad, type DriveOptions} from './drive.js';

const options = JSON.parse(process.argv[2] ?? '{}') as DriveOptions;
process.stdout.write(`${JSON.stringify(await driveLoad(options))}\n`);
