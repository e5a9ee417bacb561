import {build, type Histogram} from 'hdr-histogram-js';

/** Labels of a series, such as `{reason: 'queue-full'}`. */
export type Labels = Record<string, string>;

/** Percentiles of a histogram, in the unit that was recorded. */
export type Summary = {count: number; mean: number; p50: number; p95: number; p99: number; max: number};

/** Counters, gauges and histograms of a process. */
export type Metrics = {
	/** Adds to a counter. */
	count: (name: string, labels?: Labels, by?: number) => void;
	/** Sets a gauge. */
	setGauge: (name: string, value: number, labels?: Labels) => void;
	/** Records a value of a histogram, such as a latency in milliseconds. */
	record: (name: string, value: number, labels?: Labels) => void;
	/** Value of a counter or gauge; 0 if never set. */
	getValue: (name: string, labels?: Labels) => number;
	/** Summary of a histogram; undefined if never recorded. */
	getSummary: (name: string, labels?: Labels) => Summary | undefined;
	/** Scrape page in the Prometheus text format. */
	getPage: () => string;
};

type Series<Value> = {name: string; labels: Labels; value: Value};

const highestValue = 3_600_000;

const getKey = (name: string, labels: Labels): string => {
	const pairs = Object.keys(labels).toSorted().map(key => `${key}="${labels[key] ?? ''}"`);
	return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
};

const getHistogramSummary = (histogram: Histogram): Summary => ({
	count: histogram.totalCount,
	mean: histogram.mean,
	p50: histogram.getValueAtPercentile(50),
	p95: histogram.getValueAtPercentile(95),
	p99: histogram.getValueAtPercentile(99),
	max: histogram.maxValue,
});

const getSummaryLines = ({name, labels, value}: Series<Histogram>): string[] => {
	const summary = getHistogramSummary(value);
	return [
		`${getKey(name, {...labels, quantile: '0.5'})} ${summary.p50}`,
		`${getKey(name, {...labels, quantile: '0.95'})} ${summary.p95}`,
		`${getKey(name, {...labels, quantile: '0.99'})} ${summary.p99}`,
		`${getKey(`${name}_count`, labels)} ${summary.count}`,
		`${getKey(`${name}_sum`, labels)} ${Math.round(summary.mean * summary.count)}`,
	];
};

/** Creates an empty set of metrics. Names are without the `gentianlift_` prefix, which the page adds. */
export const createMetrics = (): Metrics => {
	const values = new Map<string, Series<number>>();
	const histograms = new Map<string, Series<Histogram>>();

	const getHistogram = (name: string, labels: Labels): Histogram => {
		const key = getKey(name, labels);
		const known = histograms.get(key);
		if (known !== undefined) {
			return known.value;
		}

		const value = build({
			bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: highestValue, numberOfSignificantValueDigits: 2,
		});
		histograms.set(key, {name, labels, value});
		return value;
	};

	return {
		count(name, labels = {}, by = 1) {
			const key = getKey(name, labels);
			const series = values.get(key);
			values.set(key, {name, labels, value: (series?.value ?? 0) + by});
		},
		setGauge(name, value, labels = {}) {
			values.set(getKey(name, labels), {name, labels, value});
		},
		record(name, value, labels = {}) {
			getHistogram(name, labels).recordValue(Math.min(highestValue, Math.max(0, Math.round(value))));
		},
		getValue: (name, labels = {}) => values.get(getKey(name, labels))?.value ?? 0,
		getSummary(name, labels = {}) {
			const series = histograms.get(getKey(name, labels));
			return series === undefined ? undefined : getHistogramSummary(series.value);
		},
		getPage() {
			const lines = [...values].map(([key, series]) => `${key} ${series.value}`);
			const summaries = [...histograms.values()].flatMap(series => getSummaryLines(series));
			return [...lines, ...summaries].map(line => `gentianlift_${line}\n`).join('');
		},
	};
};
