/** Runs the project's host program as separate processes, by the deploy file and its settings template. */
import {spawn} from 'node:child_process';
import {
	createWriteStream, readFileSync, renameSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {request} from 'node:http';
import {createServer} from 'node:net';

export const root = path.join(import.meta.dirname, '..', '..');

const deployFile = readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
const template = readFileSync(path.join(root, 'deploy', 'settings.json'), 'utf8');
const [, runCommand] = /^run = "(.*)"$/mv.exec(deployFile);

const lookUp = (fields, names) => {
	let value = fields;
	for (const name of names.split('.')) {
		value = value?.[name];
	}

	return value;
};

/** Renders the template; a section `{{#name}} .. {{/name}}` is left out where there is no value. */
const render = fields => template
	.replaceAll(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gsv, (_, names, section) => lookUp(fields, names) === undefined ? '' : section)
	.replaceAll(/\{\{([\w.]+)\|json\}\}/gv, (_, names) => JSON.stringify(lookUp(fields, names)));

/** Bounds of the site, as in its settings. */
export const bounds = {
	stableWindowMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, retryBudgetRatio: 0.2, retryWindowS: 10, retryMinExtra: 54, ttl_max_s: 5, // eslint-disable-line camelcase
};

/** Returns ports that are free on an address; they are the same on all machines. The metrics port is that of the settings template. */
export const findPorts = async ip => {
	const servers = await Promise.all(Array.from({length: 5}, async () => {
		const server = createServer();
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(0, ip, resolve);
		});
		return server;
	}));
	const [callers, readiness, registry, controlPlane, notes] = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return {
		callers, readiness, registry, controlPlane, notes,
	};
};

/** Starts a host; `seedNodes` are the addresses of some hosts for other hosts. */
export const startHost = ({
	name, ip, ports, zone, store, seedNodes, folder, record,
}) => {
	const settingsPath = path.join(folder, `${name}.settings`);
	const fields = {
		nodeName: name,
		zone,
		ip,
		limits: {
			cpuQuota: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4100,
		},
		listen: {
			frontend: `${ip}:${ports.callers}`, readiness: `${ip}:${ports.readiness}`, registry: `${ip}:${ports.registry}`, controlPlane: `${ip}:${ports.controlPlane}`,
		},
		internalPorts: [ports.notes, ports.notes + 15],
		seedNodes,
		platform: {address: store},
		bounds,
	};
	const writeSettings = () => {
		writeFileSync(`${settingsPath}.next`, render(fields));
		renameSync(`${settingsPath}.next`, settingsPath);
	};

	writeSettings();
	const log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
	const host = {
		name, ip, zone, callers: fields.listen.frontend, registry: fields.listen.registry, child: undefined, exited: undefined,
	};
	const start = () => {
		const [file, ...args] = runCommand.split(' ');
		const child = spawn(file === 'node' ? process.execPath : file, args, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, GENTIANLIFT_SETTINGS: settingsPath},
		});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		host.child = child;
		host.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				record.add('host-exits', {host: name, code, signal});
				resolve();
			});
		});
	};

	start();
	return Object.assign(host, {
		start,
		writeSettings,
		signal(signal) {
			record.add('signal', {host: name, signal});
			host.child.kill(signal);
		},
		async isReady() {
			return new Promise(resolve => {
				const probe = request({
					host: ip, port: ports.readiness, path: '/-/readyz', timeout: 500,
				}, response => {
					response.resume();
					resolve(response.statusCode === 200);
				});
				probe.on('error', () => resolve(false));
				probe.end();
			});
		},
		async end() {
			host.child.kill('SIGCONT');
			host.child.kill('SIGKILL');
			await host.exited;
		},
	});
};

/** Returns the addresses of other hosts that a host is told at its start. */
export const getSeedNodes = (ips, ports) => ips.slice(0, 3).map(ip => `${ip}:${ports.controlPlane}`);
