export {addresses} from './command.js';
