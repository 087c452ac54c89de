import type { GenerationId } from '@zinniagrade/types';

/** Longest line of a generation stream. */
export const maxLineBytes = 64 * 1024;

/**
 * A line of a generation stream. `line` is `{"generation":…,"index":…,"text":…}` in exactly this
 * form, as a string of bytes: each character is one byte of its UTF-8 form.
 */
export type StreamLine =
  | {
      readonly kind: 'chunk';
      readonly generation: GenerationId;
      readonly index: number;
      readonly line: string;
    }
  | { readonly kind: 'end'; readonly generation: GenerationId; readonly tokens: number };

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/**
 * Reads a line, given as a string of bytes. `undefined` when it is not one of the two forms of
 * section 8 of the design.
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
    return isCount(tokens) ? { kind: 'end', generation, tokens } : undefined;
  }
  if (!isCount(index) || typeof text !== 'string') {
    return undefined;
  }
  const written = Buffer.from(JSON.stringify({ generation, index, text })).toString('latin1');
  return { kind: 'chunk', generation, index, line: written };
};

const code = { zero: 0x30, nine: 0x39, space: 0x20, tilde: 0x7e, quote: 0x22, backslash: 0x5c };
const afterIndex = ',"text":"';
const lineEnd = '"}';
/** Digits of an index that the fast check reads; a longer one is parsed. */
const maxIndexDigits = 9;

/** Whether the text up to the line's end is printable ASCII that needs no escape. */
const isPlainText = (line: string, from: number): boolean => {
  const stop = line.length - lineEnd.length;
  for (let at = from; at < stop; at += 1) {
    const found = line.charCodeAt(at);
    if (
      found < code.space ||
      found > code.tilde ||
      found === code.quote ||
      found === code.backslash
    ) {
      return false;
    }
  }
  return stop >= from && line.endsWith(lineEnd);
};

/** Reads the usual form of a chunk without parsing it; `undefined` for any other line. */
export interface ChunkScanner {
  /** The index of a chunk of the generation whose line is in the exact form, or -1. */
  readonly chunkIndexOf: (line: string) => number;
}

export const ChunkScanner = {
  create: (generation: GenerationId): ChunkScanner => {
    const head = `{"generation":${JSON.stringify(generation)},"index":`;
    return {
      chunkIndexOf: (line) => {
        if (!line.startsWith(head)) {
          return -1;
        }
        let at = head.length;
        let index = 0;
        for (; at < head.length + maxIndexDigits; at += 1) {
          const digit = line.charCodeAt(at);
          if (!(digit >= code.zero && digit <= code.nine)) {
            break;
          }
          index = index * 10 + digit - code.zero;
        }
        const digits = at - head.length;
        // A leading zero is not JSON.
        const isIndex = digits > 0 && (digits === 1 || line.charCodeAt(head.length) !== code.zero);
        return isIndex &&
          line.startsWith(afterIndex, at) &&
          isPlainText(line, at + afterIndex.length)
          ? index
          : -1;
      },
    };
  },
};

/** Cuts a byte stream into lines. `push` is false when a line is longer than `maxLineBytes`. */
export interface LineSplitter {
  /** Each line is given as a string of bytes. */
  readonly push: (chunk: Buffer, take: (line: string) => void) => boolean;
}

export const LineSplitter = {
  create: (): LineSplitter => {
    let rest = '';
    return {
      push: (chunk, take) => {
        const data = rest + chunk.toString('latin1');
        let start = 0;
        for (let stop = data.indexOf('\n'); stop !== -1; stop = data.indexOf('\n', start)) {
          if (stop > start) {
            take(data.slice(start, stop));
          }
          start = stop + 1;
        }
        rest = start === data.length ? '' : data.slice(start);
        return rest.length <= maxLineBytes;
      },
    };
  },
};
