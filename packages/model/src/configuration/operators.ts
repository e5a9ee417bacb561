import type {
	Operator, DistributionBounds, DistributionEvent, DistributionFault, DistributionState, Write,
} from './state.js';

/** Returns a state in which one operator is updated. */
const updateOperator = (state: DistributionState, index: number, changes: Partial<Operator>): DistributionState =>
	({...state, operators: state.operators.map((operator, position) => position === index ? {...operator, ...changes} : operator)});

const getOperator = (state: DistributionState, index: number): Operator => state.operators[index]!;

const updateWrite = (state: DistributionState, index: number, position: number, changes: Partial<Write>): DistributionState =>
	updateOperator(state, index, {writes: getOperator(state, index).writes.map((write, at) => at === position ? {...write, ...changes} : write)});

const getWriteEvents = (operator: Operator, index: number): DistributionEvent[] => operator.writes.flatMap((write, position) => {
	const land: DistributionEvent[] = write.remainingArrivals > 0 ? [{type: 'land', operator: index, write: position}] : [];
	const isAwaited = operator.phase === 'wait' && position === operator.writes.length - 1 && write.reply !== 'none';
	return isAwaited ? [...land, {type: 'reply', operator: index, write: position}] : land;
});

const getPhaseEvents = ({phase, writesMade, hasUncertainWrite}: Operator, index: number, {service: {isDown}}: DistributionState, bounds: DistributionBounds): DistributionEvent[] => {
	switch (phase) {
		case 'start': {
			return isDown ? [] : [{type: 'read', operator: index}];
		}

		case 'write': {
			return writesMade < bounds.maxWrites ? [{type: 'write', operator: index}] : [{type: 'give-up', operator: index}];
		}

		case 'wait': {
			return [{type: 'lose-reply', operator: index}];
		}

		case 'settle': {
			const giveUp: DistributionEvent = {type: 'give-up', operator: index};
			return isDown ? [giveUp] : [{type: 'settle', operator: index}, ...hasUncertainWrite ? [giveUp] : []];
		}

		case 'applied':
		case 'conflict':
		case 'unavailable':
		case 'unknown': {
			return [];
		}
	}
};

/** Returns the events of all operators that may happen in a state. */
export const getOperatorEvents = (state: DistributionState, bounds: DistributionBounds): DistributionEvent[] => state.operators.flatMap((operator, index) => [
	...getPhaseEvents(operator, index, state, bounds),
	...state.service.isDown ? [] : getWriteEvents(operator, index),
]);

/** Applies a write that reaches the service; it takes effect only at the revision that it expects. */
export const applyLanding = (state: DistributionState, index: number, position: number, fault?: DistributionFault): DistributionState => {
	const write = getOperator(state, index).writes[position]!;
	const remainingArrivals = write.remainingArrivals - 1;
	if (write.expected !== state.service.revision && fault !== 'ignores-revision') {
		return updateWrite(state, index, position, {remainingArrivals, reply: 'rejected'});
	}

	const {version, token} = write;
	const landed = updateWrite(state, index, position, {remainingArrivals, reply: 'applied'});
	return {
		...landed,
		service: {
			...state.service, revision: state.service.revision + 1, version, token,
		},
		accepted: [...state.accepted, {version, token}],
	};
};

/** Applies the decision of an operator that has read the service again after a write. */
export const applySettlement = (state: DistributionState, index: number, fault?: DistributionFault): DistributionState => {
	const {token, base, hasUncertainWrite} = getOperator(state, index);
	const {service} = state;
	if (service.token === token) {
		return updateOperator(state, index, {phase: 'applied'});
	}

	if (service.version === base) {
		return updateOperator(state, index, {phase: fault === 'trusts-read-back' ? 'unavailable' : 'write', revision: service.revision});
	}

	const needsSuccessor = hasUncertainWrite && service.version > base + 1;
	const successor = state.accepted.find(({version}) => version === base + 1);
	return updateOperator(state, index, {phase: needsSuccessor && successor?.token === token ? 'applied' : 'conflict'});
};

const applyReply = (state: DistributionState, index: number, position: number, fault?: DistributionFault): DistributionState => {
	const {writes, hasUncertainWrite} = getOperator(state, index);
	return writes[position]!.reply === 'applied'
		? updateOperator(state, index, {phase: 'applied'})
		: updateOperator(state, index, {phase: 'settle', hasUncertainWrite: fault === 'trusts-rejection' ? hasUncertainWrite : true});
};

/** Sends a write of an operator to the service. */
export const applyWrite = (state: DistributionState, index: number, maxArrivals: number): DistributionState => {
	const {token, base, revision, writes, writesMade} = getOperator(state, index);
	const write: Write = {
		token, version: base + 1, expected: revision, reply: 'none', remainingArrivals: maxArrivals,
	};
	return updateOperator(state, index, {phase: 'wait', writes: [...writes, write], writesMade: writesMade + 1});
};

type OperatorEvent = Extract<DistributionEvent, {operator: number}>;

/** Applies an event of an operator. */
export const applyOperatorEvent = (state: DistributionState, event: OperatorEvent, {maxArrivals}: DistributionBounds, fault?: DistributionFault): DistributionState => {
	const {operator: index} = event;
	switch (event.type) {
		case 'read': {
			return updateOperator(state, index, {phase: 'write', base: state.service.version, revision: state.service.revision});
		}

		case 'write': {
			return applyWrite(state, index, maxArrivals);
		}

		case 'land': {
			return applyLanding(state, index, event.write, fault);
		}

		case 'reply': {
			return applyReply(state, index, event.write, fault);
		}

		case 'lose-reply': {
			return updateOperator(state, index, {phase: 'settle', hasUncertainWrite: true});
		}

		case 'settle': {
			return applySettlement(state, index, fault);
		}

		case 'give-up': {
			return updateOperator(state, index, {phase: getOperator(state, index).hasUncertainWrite ? 'unknown' : 'unavailable'});
		}
	}
};

/** Drops the writes that can no longer take effect, as the revision only rises, unless an operator awaits their reply. */
export const dropObsoleteWrites = (state: DistributionState): DistributionState => ({
	...state,
	operators: state.operators.map(operator => ({
		...operator,
		writes: operator.writes.filter((write, position) =>
			(write.remainingArrivals > 0 && write.expected === state.service.revision)
			|| (operator.phase === 'wait' && position === operator.writes.length - 1)),
	})),
});
