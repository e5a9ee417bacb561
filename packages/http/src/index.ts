export {checkAnswer, type AnswerCheck, type HeadFault} from './check-answer.js';
