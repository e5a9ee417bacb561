/** One line of a chart: a value from 0 to 1 for each step of time. */
export type Line = {name: string; colour: string; values: number[]};

/** A chart of shares over time. */
export type Chart = {title: string; secondsPerStep: number; lines: Line[]};

const width = 720;
const height = 300;
const margin = {
	left: 50, right: 150, top: 40, bottom: 40,
};
const plotWidth = width - margin.left - margin.right;
const plotHeight = height - margin.top - margin.bottom;
const shares = [0, 0.25, 0.5, 0.75, 1];

const getX = (step: number, steps: number): number => margin.left + (plotWidth * step / Math.max(1, steps - 1));
const getY = (share: number): number => margin.top + (plotHeight * (1 - share));

const getText = (x: number, y: number, text: string, extra = ''): string =>
	`<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" font-size="12" font-family="sans-serif" ${extra}>${text}</text>`;

const getGrid = (): string[] => shares.flatMap(share => [
	`<line x1="${margin.left}" y1="${getY(share)}" x2="${margin.left + plotWidth}" y2="${getY(share)}" stroke="#ddd"/>`,
	getText(margin.left - 8, getY(share) + 4, `${share * 100}%`, 'text-anchor="end"'),
]);

const getLine = ({name, colour, values}: Line, index: number): string[] => {
	const points = values.map((value, step) => `${getX(step, values.length).toFixed(1)},${getY(value).toFixed(1)}`);
	return [
		`<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`,
		getText(margin.left + plotWidth + 12, margin.top + 12 + (index * 20), name, `fill="${colour}"`),
	];
};

const getAxis = ({secondsPerStep, lines}: Chart): string[] => {
	const steps = lines[0]?.values.length ?? 0;
	return Array.from({length: steps}, (_, step) => getText(getX(step, steps), height - 18, String(step * secondsPerStep), 'text-anchor="middle"'));
};

/** Gets a chart as the text of an SVG file. */
export const getChartText = (chart: Chart): string => [
	`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}">`,
	`<rect width="${width}" height="${height}" fill="#fff"/>`,
	getText(margin.left, 22, chart.title, 'font-weight="bold"'),
	...getGrid(),
	...getAxis(chart),
	...chart.lines.flatMap((line, index) => getLine(line, index)),
	getText(margin.left + (plotWidth / 2), height - 4, 'seconds of arrival', 'text-anchor="middle"'),
	'</svg>',
	'',
].join('\n');
