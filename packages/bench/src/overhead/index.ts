export {overhead} from './command.js';
