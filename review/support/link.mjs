/** TCP proxies between a host and the store or an engine, which can be cut and healed. */
import {createServer, connect} from 'node:net';

/** Starts a proxy; `mode` is `open`, `silent` (nothing passes, as behind a partition) or `reset`. */
export const startLink = async (ip, target, port = 0) => {
	const [targetIp, targetPort] = target.split(':');
	const state = {mode: 'open'};
	const pairs = new Set();
	const server = createServer({allowHalfOpen: true}, inner => {
		inner.on('error', () => undefined);
		if (state.mode === 'reset') {
			inner.resetAndDestroy();
			return;
		}

		const pair = {inner, outer: undefined, isLost: state.mode === 'silent'};
		pairs.add(pair);
		const outer = connect({host: targetIp, port: Number(targetPort), allowHalfOpen: true});
		pair.outer = outer;
		outer.on('error', () => inner.destroy());
		const pass = (from, to) => {
			from.on('data', chunk => {
				// A connection that has lost bytes passes none from then on.
				pair.isLost ||= state.mode === 'silent';
				if (!pair.isLost) {
					to.write(chunk);
				}
			});
			from.on('end', () => {
				if (!pair.isLost) {
					to.end();
				}
			});
			from.on('close', () => {
				pairs.delete(pair);
				if (!pair.isLost) {
					to.destroy();
				}
			});
		};

		pass(inner, outer);
		pass(outer, inner);
	});
	await new Promise(resolve => {
		server.listen(port, ip, resolve);
	});
	return {
		address: `${ip}:${server.address().port}`,
		setMode(mode) {
			state.mode = mode;
			if (mode !== 'open') {
				for (const pair of pairs) {
					pair.isLost = true;
					if (mode === 'reset') {
						pair.inner.resetAndDestroy();
						pair.outer.resetAndDestroy();
					}
				}
			}
		},
		/** Lets all open connections go silent for good, while new ones work. */
		silenceConnections() {
			for (const pair of pairs) {
				pair.isLost = true;
			}
		},
		close() {
			server.close();
			for (const {inner, outer} of pairs) {
				inner.destroy();
				outer.destroy();
			}
		},
	};
};
