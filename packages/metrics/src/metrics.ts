import {build, type Histogram} from 'hdr-histogram-js';

/** Labels that identify a series of a metric, such as `{reason: 'queue-full'}`. */
export type Labels = Record<string, string>;

/** Summary statistics of a histogram, in the unit of the recorded values. */
export type HistogramSummary = {count: number; mean: number; p50: number; p95: number; p99: number; max: number};

/** Registry of the counters, gauges and histograms of a process. */
export type Metrics = {
	/** Increments a counter, by 1 if `by` is absent. */
	count: (name: string, labels?: Labels, by?: number) => void;
	/** Sets the value of a gauge. */
	setGauge: (name: string, value: number, labels?: Labels) => void;
	/** Records a value in a histogram, such as a latency in milliseconds. Values are rounded to integers and clamped to the histogram's range. */
	record: (name: string, value: number, labels?: Labels) => void;
	/** Returns the value of a counter or gauge; 0 if it was never set. */
	getValue: (name: string, labels?: Labels) => number;
	/** Returns the summary of a histogram; undefined if nothing was recorded. */
	getSummary: (name: string, labels?: Labels) => HistogramSummary | undefined;
	/** Renders all series in the Prometheus text format, for a scrape. */
	renderPrometheusText: () => string;
};

/** A metric's value for one set of labels. */
type Series<Value> = {name: string; labels: Labels; value: Value};

/** Upper bound of recorded values; one hour if they are in milliseconds. */
const maxRecordedValue = 3_600_000;

const formatSeriesKey = (name: string, labels: Labels): string => {
	const pairs = Object.keys(labels).toSorted().map(key => `${key}="${labels[key] ?? ''}"`);
	return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
};

const summarizeHistogram = (histogram: Histogram): HistogramSummary => ({
	count: histogram.totalCount,
	mean: histogram.mean,
	p50: histogram.getValueAtPercentile(50),
	p95: histogram.getValueAtPercentile(95),
	p99: histogram.getValueAtPercentile(99),
	max: histogram.maxValue,
});

const formatSummaryLines = ({name, labels, value}: Series<Histogram>): string[] => {
	const summary = summarizeHistogram(value);
	return [
		`${formatSeriesKey(name, {...labels, quantile: '0.5'})} ${summary.p50}`,
		`${formatSeriesKey(name, {...labels, quantile: '0.95'})} ${summary.p95}`,
		`${formatSeriesKey(name, {...labels, quantile: '0.99'})} ${summary.p99}`,
		`${formatSeriesKey(`${name}_count`, labels)} ${summary.count}`,
		`${formatSeriesKey(`${name}_sum`, labels)} ${Math.round(summary.mean * summary.count)}`,
	];
};

/** Creates an empty registry. Callers name metrics without the `gentianlift_` prefix, which is added when they are rendered. */
export const createMetrics = (): Metrics => {
	const values = new Map<string, Series<number>>();
	const histograms = new Map<string, Series<Histogram>>();

	const getHistogram = (name: string, labels: Labels): Histogram => {
		const key = formatSeriesKey(name, labels);
		const existing = histograms.get(key);
		if (existing !== undefined) {
			return existing.value;
		}

		const value = build({
			bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: maxRecordedValue, numberOfSignificantValueDigits: 2,
		});
		histograms.set(key, {name, labels, value});
		return value;
	};

	return {
		count(name, labels = {}, by = 1) {
			const key = formatSeriesKey(name, labels);
			const series = values.get(key);
			values.set(key, {name, labels, value: (series?.value ?? 0) + by});
		},
		setGauge(name, value, labels = {}) {
			values.set(formatSeriesKey(name, labels), {name, labels, value});
		},
		record(name, value, labels = {}) {
			getHistogram(name, labels).recordValue(Math.min(maxRecordedValue, Math.max(0, Math.round(value))));
		},
		getValue: (name, labels = {}) => values.get(formatSeriesKey(name, labels))?.value ?? 0,
		getSummary(name, labels = {}) {
			const series = histograms.get(formatSeriesKey(name, labels));
			return series === undefined ? undefined : summarizeHistogram(series.value);
		},
		renderPrometheusText() {
			const lines = [...values].map(([key, series]) => `${key} ${series.value}`);
			const summaries = [...histograms.values()].flatMap(series => formatSummaryLines(series));
			return [...lines, ...summaries].map(line => `gentianlift_${line}\n`).join('');
		},
	};
};
