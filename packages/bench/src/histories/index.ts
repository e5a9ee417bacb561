export {histories} from './command.js';
