import {expect, test} from 'vitest';
import {formatLine} from './format-line.js';

test('quotes values that contain spaces or quotes', () => {
	const line = formatLine({
		time: 0, level: 'info', event: 'refused', detail: 'a "b" c', count: 2,
	});
	expect(line).toBe(String.raw`time=1970-01-01T00:00:00.000Z level=info event=refused detail="a \"b\" c" count=2` + '\n');
});
