/** Pattern of a reason phrase, or of the value of a field with the white space around it (RFC 9110, section 5.5). */
const text = String.raw`[\t\x20-\x7E\x80-\xFF]*`;
/** Pattern of the name of a field (RFC 9110, section 5.6.2). */
const name = String.raw`[!#$%&'*+\-.^_\`\|~0-9A-Za-z]+`;
/** Pattern of a field line of a head or a trailer (RFC 9112, section 5). */
const fieldLine = String.raw`${name}:${text}\r\n`;

/** Matches the head of an answer, one character for each byte (RFC 9112, section 4). */
export const headPattern = new RegExp(String.raw`^HTTP\/1\.[01] (?<status>\d{3})(?: ${text})?\r\n(?:${fieldLine})*\r\n$`, 'v');

/** Matches a field line of a trailer. */
export const fieldLinePattern = new RegExp(`^${fieldLine}$`, 'v');

/** Matches the line before a chunk, with the chunk's size in hexadecimal digits (RFC 9112, section 7.1). */
export const sizeLinePattern = new RegExp(String.raw`^(?<size>[0-9A-Fa-f]+)(?:[\t ]*;${text})?\r\n$`, 'v');

/** End of the line before a field section's last one, and of that. */
export const sectionEnd = '\r\n\r\n';
