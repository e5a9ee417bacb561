export {membership} from './command.js';
