import type { GenerationId } from '@zinniagrade/types';

export const maxLineBytes = 64 * 1024;

/**
 * A line of a generation stream. `line` is `{"generation":…,"index":…,"text":…}` in exactly this
 * form, with one character per byte of its UTF-8 form.
 */
export type StreamLine =
  | {
      readonly kind: 'chunk';
      readonly generation: GenerationId;
      readonly index: number;
      readonly line: string;
    }
  | { readonly kind: 'end'; readonly generation: GenerationId; readonly tokens: number };

const isNonNegativeInteger = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/**
 * Parses a line with one character per byte. Returns `undefined` unless it is
 * `{"generation","index","text"}` or `{"generation","end":true,"tokens"}`.
 */
export const parseStreamLine = (line: string): StreamLine | undefined => {
  let document: unknown;
  try {
    document = JSON.parse(Buffer.from(line, 'latin1').toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof document !== 'object' || document === null) {
    return undefined;
  }
  const { generation, index, text, end, tokens } = document as Record<string, unknown>;
  if (typeof generation !== 'string') {
    return undefined;
  }
  if (end === true) {
    return isNonNegativeInteger(tokens) ? { kind: 'end', generation, tokens } : undefined;
  }
  if (!isNonNegativeInteger(index) || typeof text !== 'string') {
    return undefined;
  }
  const canonicalLine = Buffer.from(JSON.stringify({ generation, index, text })).toString('latin1');
  return { kind: 'chunk', generation, index, line: canonicalLine };
};

const asciiCode = {
  zero: 0x30,
  nine: 0x39,
  space: 0x20,
  tilde: 0x7e,
  quote: 0x22,
  backslash: 0x5c,
};
const textPrefix = ',"text":"';
const lineSuffix = '"}';
/** Limit on the digits of an index that the scanner reads; a line with a longer one is parsed. */
const maxIndexDigits = 9;

/** Whether the token text up to the end of the line is printable ASCII that needs no escaping. */
const isPlainText = (line: string, from: number): boolean => {
  const textEnd = line.length - lineSuffix.length;
  for (let position = from; position < textEnd; position += 1) {
    const charCode = line.charCodeAt(position);
    if (
      charCode < asciiCode.space ||
      charCode > asciiCode.tilde ||
      charCode === asciiCode.quote ||
      charCode === asciiCode.backslash
    ) {
      return false;
    }
  }
  return textEnd >= from && line.endsWith(lineSuffix);
};

/** Recognizes chunks in their usual form without parsing them. */
export interface ChunkScanner {
  /** The index of a chunk of the generation, or -1 if the line has not exactly the usual form. */
  readonly chunkIndexOf: (line: string) => number;
}

export const ChunkScanner = {
  create: (generation: GenerationId): ChunkScanner => {
    const linePrefix = `{"generation":${JSON.stringify(generation)},"index":`;
    return {
      chunkIndexOf: (line) => {
        if (!line.startsWith(linePrefix)) {
          return -1;
        }
        let position = linePrefix.length;
        let index = 0;
        for (; position < linePrefix.length + maxIndexDigits; position += 1) {
          const digit = line.charCodeAt(position);
          if (!(digit >= asciiCode.zero && digit <= asciiCode.nine)) {
            break;
          }
          index = index * 10 + digit - asciiCode.zero;
        }
        const digits = position - linePrefix.length;
        // JSON allows no leading zero.
        const isIndex =
          digits > 0 && (digits === 1 || line.charCodeAt(linePrefix.length) !== asciiCode.zero);
        return isIndex &&
          line.startsWith(textPrefix, position) &&
          isPlainText(line, position + textPrefix.length)
          ? index
          : -1;
      },
    };
  },
};

/** Splits a byte stream into lines. */
export interface LineSplitter {
  /**
   * Passes each complete line with one character per byte. Returns false if the incomplete line is
   * longer than `maxLineBytes`.
   */
  readonly push: (chunk: Buffer, onLine: (line: string) => void) => boolean;
}

export const LineSplitter = {
  create: (): LineSplitter => {
    let incompleteLine = '';
    return {
      push: (chunk, onLine) => {
        const data = incompleteLine + chunk.toString('latin1');
        let start = 0;
        for (
          let lineBreak = data.indexOf('\n');
          lineBreak !== -1;
          lineBreak = data.indexOf('\n', start)
        ) {
          if (lineBreak > start) {
            onLine(data.slice(start, lineBreak));
          }
          start = lineBreak + 1;
        }
        incompleteLine = start === data.length ? '' : data.slice(start);
        return incompleteLine.length <= maxLineBytes;
      },
    };
  },
};
