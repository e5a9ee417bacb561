export {policy} from './command.js';
