export {faults} from './command.js';
