import type { ServerResponse } from 'node:http';
import type { Fault } from './settings.js';

interface Reader {
  readonly response: ServerResponse;
  readonly fault: Fault | undefined;
  isMuted: boolean;
}

interface Generation {
  readonly readers: Set<Reader>;
  tokens: number;
  state: 'running' | 'ended' | 'failed';
}

/**
 * Text of a token. It contains the generation and the index, so that tests can tell tokens apart.
 */
export const tokenText = (generation: string, index: number): string => `${generation}/${index} `;

const write = (reader: Reader, line: object): void => {
  if (!reader.isMuted) {
    reader.response.write(`${JSON.stringify(line)}\n`);
  }
};

const writeToken = (reader: Reader, generation: string, index: number): void => {
  const line = { generation, index, text: tokenText(generation, index) };
  const kind = reader.fault?.at === index ? reader.fault.kind : undefined;
  if (kind === 'cut') {
    reader.response.destroy();
  }
  if (kind === 'mute') {
    reader.isMuted = true;
  }
  if (kind === 'foreign-line') {
    write(reader, { generation: 'another', index, text: 'another' });
  }
  if (kind !== 'drop-line') {
    write(reader, line);
  }
  if (kind === 'repeat-line') {
    write(reader, line);
  }
};

const endReader = (id: string, { state, tokens }: Generation, reader: Reader): void => {
  if (reader.isMuted) {
    return;
  }
  if (state === 'failed') {
    reader.response.destroy();
    return;
  }
  reader.response.end(`${JSON.stringify({ generation: id, end: true, tokens })}\n`);
};

/** The generations of an engine and their readers. A generation outlives its readers. */
export type GenerationStore = ReturnType<typeof GenerationStore.create>;

export const GenerationStore = {
  create: () => {
    const generations = new Map<string, Generation>();
    const end = (id: string, state: 'ended' | 'failed'): void => {
      const generation = generations.get(id);
      if (generation?.state !== 'running') {
        return;
      }
      generation.state = state;
      for (const reader of generation.readers) {
        endReader(id, generation, reader);
      }
    };

    return {
      has: (id: string): boolean => generations.has(id),
      start: (id: string): void => {
        generations.set(id, { readers: new Set(), tokens: 0, state: 'running' });
      },
      /** Sends the tokens from the given index on, then each new one as it is generated. */
      addReader: (id: string, from: number, response: ServerResponse, fault?: Fault): void => {
        const generation = generations.get(id);
        if (generation === undefined) {
          return;
        }
        const reader: Reader = { response, fault, isMuted: false };
        response.writeHead(200, { 'content-type': 'application/x-ndjson' });
        response.flushHeaders();
        for (let index = from; index < generation.tokens; index += 1) {
          writeToken(reader, id, index);
        }
        if (generation.state !== 'running') {
          endReader(id, generation, reader);
          return;
        }
        generation.readers.add(reader);
        response.on('close', () => generation.readers.delete(reader));
      },
      addToken: (id: string): void => {
        const generation = generations.get(id);
        if (generation === undefined) {
          return;
        }
        generation.tokens += 1;
        for (const reader of generation.readers) {
          writeToken(reader, id, generation.tokens - 1);
        }
      },
      end,
      /** Deletes a cancelled generation and closes the connections of its readers. */
      remove: (id: string): void => {
        end(id, 'failed');
        generations.delete(id);
      },
    };
  },
};
