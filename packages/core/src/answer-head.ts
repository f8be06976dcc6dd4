/** Finds the head of a second answer in the body of a first. */

/**
 * Status line with its line break. JSON, also as the data of an event, matches
 * nowhere: it holds such text only in strings, which have no line break, and which
 * a quotation mark ends. The look-ahead keeps the search linear.
 */
const STATUS_LINE = /HTTP\/1\.[01] \d{3}(?:(?!HTTP\/1)[^\r\n"])*[\r\n]/;

/**
 * Returns true if a JSON body, or an event with JSON data, holds the head of
 * another answer: a body without a length or chunks goes on to the end of its
 * connection, whatever the server sends before.
 *
 * @example
 * isAnsweredAgain('{}HTTP/1.1 200 OK\r\n\r\n{}'); // true
 */
export function isAnsweredAgain(text: string): boolean {
  return STATUS_LINE.test(text);
}
