/** Line of a chart: a ratio from 0 to 1 for each time step. */
export type ChartLine = {name: string; colour: string; ratios: number[]};

/** Chart of ratios over time. */
export type Chart = {title: string; secondsPerStep: number; lines: ChartLine[]};

const width = 720;
const height = 300;
const margin = {
	left: 50, right: 150, top: 40, bottom: 40,
};
const plotWidth = width - margin.left - margin.right;
const plotHeight = height - margin.top - margin.bottom;
const gridRatios = [0, 0.25, 0.5, 0.75, 1];

const getX = (step: number, steps: number): number => margin.left + (plotWidth * step / Math.max(1, steps - 1));
const getY = (ratio: number): number => margin.top + (plotHeight * (1 - ratio));

const renderText = (x: number, y: number, text: string, extra = ''): string =>
	`<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" font-size="12" font-family="sans-serif" ${extra}>${text}</text>`;

const renderGrid = (): string[] => gridRatios.flatMap(ratio => [
	`<line x1="${margin.left}" y1="${getY(ratio)}" x2="${margin.left + plotWidth}" y2="${getY(ratio)}" stroke="#ddd"/>`,
	renderText(margin.left - 8, getY(ratio) + 4, `${ratio * 100}%`, 'text-anchor="end"'),
]);

const renderLine = ({name, colour, ratios}: ChartLine, index: number): string[] => {
	const points = ratios.map((ratio, step) => `${getX(step, ratios.length).toFixed(1)},${getY(ratio).toFixed(1)}`);
	return [
		`<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`,
		renderText(margin.left + plotWidth + 12, margin.top + 12 + (index * 20), name, `fill="${colour}"`),
	];
};

const renderAxis = ({secondsPerStep, lines}: Chart): string[] => {
	const steps = lines[0]?.ratios.length ?? 0;
	return Array.from({length: steps}, (_, step) => renderText(getX(step, steps), height - 18, String(step * secondsPerStep), 'text-anchor="middle"'));
};

/** Renders a chart as the text of an SVG file. */
export const renderChart = (chart: Chart): string => [
	`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}">`,
	`<rect width="${width}" height="${height}" fill="#fff"/>`,
	renderText(margin.left, 22, chart.title, 'font-weight="bold"'),
	...renderGrid(),
	...renderAxis(chart),
	...chart.lines.flatMap((line, index) => renderLine(line, index)),
	renderText(margin.left + (plotWidth / 2), height - 4, 'seconds of arrival', 'text-anchor="middle"'),
	'</svg>',
	'',
].join('\n');
