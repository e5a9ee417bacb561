import type {
	Operator, SpreadBounds, SpreadEvent, SpreadFault, SpreadState, Write,
} from './state.js';

/** Replaces one operator. */
const change = (state: SpreadState, index: number, changes: Partial<Operator>): SpreadState =>
	({...state, operators: state.operators.map((operator, place) => place === index ? {...operator, ...changes} : operator)});

const getOperator = (state: SpreadState, index: number): Operator => state.operators[index]!;

const changeWrite = (state: SpreadState, index: number, place: number, changes: Partial<Write>): SpreadState =>
	change(state, index, {writes: getOperator(state, index).writes.map((write, at) => at === place ? {...write, ...changes} : write)});

const getWriteEvents = (operator: Operator, index: number): SpreadEvent[] => operator.writes.flatMap((write, place) => {
	const land: SpreadEvent[] = write.arrivals > 0 ? [{type: 'land', operator: index, write: place}] : [];
	const isAwaited = operator.phase === 'wait' && place === operator.writes.length - 1 && write.reply !== 'none';
	return isAwaited ? [...land, {type: 'reply', operator: index, write: place}] : land;
});

const getPhaseEvents = ({phase, made, isWritten}: Operator, index: number, {service: {isDown}}: SpreadState, bounds: SpreadBounds): SpreadEvent[] => {
	switch (phase) {
		case 'start': {
			return isDown ? [] : [{type: 'read', operator: index}];
		}

		case 'write': {
			return made < bounds.writes ? [{type: 'write', operator: index}] : [{type: 'give-up', operator: index}];
		}

		case 'wait': {
			return [{type: 'lose-reply', operator: index}];
		}

		case 'settle': {
			const giveUp: SpreadEvent = {type: 'give-up', operator: index};
			return isDown ? [giveUp] : [{type: 'settle', operator: index}, ...isWritten ? [giveUp] : []];
		}

		case 'applied':
		case 'conflict':
		case 'unavailable':
		case 'unknown': {
			return [];
		}
	}
};

/** Gets the events of all operators. */
export const getOperatorEvents = (state: SpreadState, bounds: SpreadBounds): SpreadEvent[] => state.operators.flatMap((operator, index) => [
	...getPhaseEvents(operator, index, state, bounds),
	...state.service.isDown ? [] : getWriteEvents(operator, index),
]);

/** Applies a write that reaches the service: it takes effect only at the revision that it expects. */
export const applyLanding = (state: SpreadState, index: number, place: number, fault?: SpreadFault): SpreadState => {
	const write = getOperator(state, index).writes[place]!;
	const arrivals = write.arrivals - 1;
	if (write.expected !== state.service.revision && fault !== 'ignores-revision') {
		return changeWrite(state, index, place, {arrivals, reply: 'rejected'});
	}

	const {version, token} = write;
	const landed = changeWrite(state, index, place, {arrivals, reply: 'applied'});
	return {
		...landed,
		service: {
			...state.service, revision: state.service.revision + 1, version, token,
		},
		accepted: [...state.accepted, {version, token}],
	};
};

/** Applies what an operator decides after it has read the service again. */
export const applySettling = (state: SpreadState, index: number, fault?: SpreadFault): SpreadState => {
	const {token, base, isWritten} = getOperator(state, index);
	const {service} = state;
	if (service.token === token) {
		return change(state, index, {phase: 'applied'});
	}

	if (service.version === base) {
		return change(state, index, {phase: fault === 'trusts-read-back' ? 'unavailable' : 'write', revision: service.revision});
	}

	const isLooked = isWritten && service.version > base + 1;
	const successor = state.accepted.find(({version}) => version === base + 1);
	return change(state, index, {phase: isLooked && successor?.token === token ? 'applied' : 'conflict'});
};

const applyReply = (state: SpreadState, index: number, place: number, fault?: SpreadFault): SpreadState => {
	const {writes, isWritten} = getOperator(state, index);
	return writes[place]!.reply === 'applied'
		? change(state, index, {phase: 'applied'})
		: change(state, index, {phase: 'settle', isWritten: fault === 'trusts-rejection' ? isWritten : true});
};

/** Applies an operator's write: it is under way from now on. */
export const applyWrite = (state: SpreadState, index: number, arrivals: number): SpreadState => {
	const {token, base, revision, writes, made} = getOperator(state, index);
	const write: Write = {
		token, version: base + 1, expected: revision, reply: 'none', arrivals,
	};
	return change(state, index, {phase: 'wait', writes: [...writes, write], made: made + 1});
};

type OperatorEvent = Extract<SpreadEvent, {operator: number}>;

/** Applies an event of an operator. */
export const applyOperatorEvent = (state: SpreadState, event: OperatorEvent, {arrivals}: SpreadBounds, fault?: SpreadFault): SpreadState => {
	const {operator: index} = event;
	switch (event.type) {
		case 'read': {
			return change(state, index, {phase: 'write', base: state.service.version, revision: state.service.revision});
		}

		case 'write': {
			return applyWrite(state, index, arrivals);
		}

		case 'land': {
			return applyLanding(state, index, event.write, fault);
		}

		case 'reply': {
			return applyReply(state, index, event.write, fault);
		}

		case 'lose-reply': {
			return change(state, index, {phase: 'settle', isWritten: true});
		}

		case 'settle': {
			return applySettling(state, index, fault);
		}

		case 'give-up': {
			return change(state, index, {phase: getOperator(state, index).isWritten ? 'unknown' : 'unavailable'});
		}
	}
};

/** Drops the writes that can no longer take effect and that nobody waits for, since the revision only rises. */
export const dropLostWrites = (state: SpreadState): SpreadState => ({
	...state,
	operators: state.operators.map(operator => ({
		...operator,
		writes: operator.writes.filter((write, place) =>
			(write.arrivals > 0 && write.expected === state.service.revision)
			|| (operator.phase === 'wait' && place === operator.writes.length - 1)),
	})),
});
