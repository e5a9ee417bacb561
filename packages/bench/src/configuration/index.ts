export {configuration} from './command.js';
