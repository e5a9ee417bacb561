/** Pattern of a reason phrase, or of the value of a field with the white space around it (RFC 9110, section 5.5). */
const text = String.raw`[\t\x20-\x7E\x80-\xFF]*`;
/** Pattern of the name of a field (RFC 9110, section 5.6.2). */
const name = String.raw`[!#$%&'*+\-.^_\`\|~0-9A-Za-z]+`;
/** Pattern of the field lines of a head or a trailer, up to and with the empty line behind them (RFC 9112, section 5). */
const fieldSection = String.raw`(?:${name}:${text}\r\n)*\r\n`;

/** Matches the head of an answer, one character for each byte (RFC 9112, section 4). */
export const headPattern = new RegExp(String.raw`^HTTP\/1\.[01] (?<status>\d{3})(?: ${text})?\r\n${fieldSection}$`, 'v');

/** End of the line before a field section's last one, and of that. */
export const sectionEnd = '\r\n\r\n';
