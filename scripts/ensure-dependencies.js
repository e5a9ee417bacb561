// Installs the dependencies if the bundler can't run: `node_modules` may be incomplete, or carried over from a machine with another processor.
import {execFileSync} from 'node:child_process';

const canBundle = async () => {
	try {
		const {transform} = await import('esbuild');
		await transform('');
		return true;
	} catch (error) {
		console.warn(`The bundler can't run: ${error.message.trim().split('\n', 1)[0]}`);
		return false;
	}
};

if (!await canBundle()) {
	execFileSync('npm', ['ci', '--silent'], {stdio: 'inherit'});
}
