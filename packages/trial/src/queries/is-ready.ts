import type {Settings} from '@gentianlift/types';

/** Returns whether the readiness endpoint of a host's operator listener answers with success. */
export const isReady = async ({operatorAddress}: Pick<Settings, 'operatorAddress'>): Promise<boolean> => {
	try {
		const answer = await fetch(`http://${operatorAddress}/ready`);
		await answer.body?.cancel();
		return answer.ok;
	} catch {
		return false;
	}
};
