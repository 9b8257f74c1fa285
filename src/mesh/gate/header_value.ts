/** The value of a header field in a flat list of names and values. */
export function headerValue(
  headers: readonly string[],
  name: string,
): string | undefined {
  const index = headers.findIndex(
    (text, i) => i % 2 === 0 && text.toLowerCase() === name,
  );
  return index < 0 ? undefined : headers[index + 1];
}
