// Each bench has its own folder, whose index exports one command.
export {overhead} from './overhead/index.js';
export {policy} from './policy/index.js';
