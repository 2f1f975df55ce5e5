/** The position of a syntax error in JSON. */

import { getErrorMessage } from "../../errors/mod.ts";

/** A position in a text, counted from 1. */
export interface TextPosition {
  /** The line. */
  line: number;
  /** The column, in UTF-16 code units. */
  column: number;
}

/**
 * Finds the first syntax error of a text, or undefined if the text is JSON.
 *
 * The messages of `JSON.parse` often name no position, and quote the text, which may contain keys.
 */
export function findJsonError(text: string): TextPosition | undefined {
  if (getJsonError(text) === undefined) return undefined;
  // The longest beginning of the text that may continue as JSON ends before the error.
  let valid = 0;
  let invalid = text.length + 1;
  while (invalid - valid > 1) {
    const middle = Math.floor((valid + invalid) / 2);
    if (isWrongBeforeEnd(text.slice(0, middle))) invalid = middle;
    else valid = middle;
  }
  const lines = text.slice(0, valid).split("\n");
  return { line: lines.length, column: lines.at(-1)!.length + 1 };
}

/** Gets whether a text is not the beginning of any JSON text. */
function isWrongBeforeEnd(text: string): boolean {
  const message = getJsonError(text);
  if (message === undefined || message.startsWith("Unexpected end")) return false;
  return Number(/ at position (\d+)/.exec(message)?.[1]) !== text.length;
}

function getJsonError(text: string): string | undefined {
  try {
    JSON.parse(text);
    return undefined;
  } catch (error) {
    return getErrorMessage(error);
  }
}
