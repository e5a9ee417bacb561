// Each bench has its own folder, whose index exports one command.
export {overhead} from './overhead/index.js';
export {membership} from './membership/index.js';
export {faults} from './faults/index.js';
export {configuration} from './configuration/index.js';
