export {
	checkAnswer, type AnswerCheck, type EndFault, type HeadFault,
} from './check-answer.js';
export {endsWithConnection, getFraming, type Framing} from './framing.js';
