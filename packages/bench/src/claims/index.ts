export {claims} from './command.js';
