// Each bench has its own folder, whose index exports one command.
export {faults} from './faults/index.js';
export {membership} from './membership/index.js';
export {overhead} from './overhead/index.js';
export {policy} from './policy/index.js';
export {histories} from './histories/index.js';
