import { connect } from 'node:net';
import { Random } from '@zinniagrade/clock';
import { childSettings, runChild } from './child.js';

export interface CallerSettings {
  readonly seed: number;
  readonly entryPort: number;
  readonly authorization: string;
  readonly enginePorts: readonly number[];
  /** Number of streams through the entry node, and number of streams directly from the engines. */
  readonly relayed: number;
  readonly direct: number;
  readonly tokensPerStream: number;
  readonly rampMs: number;
}

export interface Samples {
  readonly gapsUs: Float64Array;
  readonly transitUs: Float64Array;
}

export interface CallerResult {
  readonly relayed: Samples;
  readonly direct: Samples;
  readonly complete: number;
  readonly incomplete: number;
  readonly outOfOrder: number;
}

const settings = childSettings() as CallerSettings;
const random = Random.create(settings.seed);
const nowUs = (): number => Number(process.hrtime.bigint() / 1000n);

const createSampleBuffers = (): { readonly gaps: number[]; readonly transit: number[] } => ({
  gaps: [],
  transit: [],
});
let relayed = createSampleBuffers();
let direct = createSampleBuffers();
let complete = 0;
let incomplete = 0;
let outOfOrder = 0;
let isMeasuring = false;

const tokenPattern = /"index":(\d+),"text":"tok (\d+)"\}/g;

/** Reads one stream over a plain socket, to keep the CPU cost of the reader low. */
const openStream = (isRelayed: boolean, maxTokens: number, onEnd: () => void): void => {
  const port = isRelayed
    ? settings.entryPort
    : (settings.enginePorts[Math.floor(random() * settings.enginePorts.length)] ?? 0);
  const path = isRelayed ? '/v1/services/reports/generations' : '/generations';
  const body = JSON.stringify({
    prompt: 'x'.repeat(200),
    maxTokens,
    ...(isRelayed ? {} : { generation: `d${random()}` }),
  });
  const socket = connect({ port, host: '127.0.0.1', noDelay: true });
  let nextIndex = 0;
  let lastUs = 0;
  let isComplete = false;
  socket.write(
    `POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: ${settings.authorization}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  socket.on('data', (chunk) => {
    const arrivedUs = nowUs();
    const text = chunk.toString('latin1');
    for (const [, index, sentUs] of text.matchAll(tokenPattern)) {
      outOfOrder += Number(index) === nextIndex ? 0 : 1;
      nextIndex = Number(index) + 1;
      if (isMeasuring) {
        const samples = isRelayed ? relayed : direct;
        samples.transit.push(arrivedUs - Number(sentUs));
        if (lastUs > 0) {
          samples.gaps.push(arrivedUs - lastUs);
        }
      }
      lastUs = arrivedUs;
    }
    if (text.includes(`"tokens":${maxTokens}}`) && nextIndex === maxTokens) {
      isComplete = true;
      socket.destroy();
    }
  });
  socket.on('error', () => undefined);
  socket.once('close', () => {
    complete += isComplete ? 1 : 0;
    incomplete += isComplete ? 0 : 1;
    onEnd();
  });
};

const keepStreamOpen = (isRelayed: boolean, maxTokens: number): void => {
  openStream(isRelayed, maxTokens, () => {
    keepStreamOpen(isRelayed, settings.tokensPerStream);
  });
};

const streams = settings.relayed + settings.direct;
for (let stream = 0; stream < streams; stream += 1) {
  // The first streams have random lengths, which spreads the starts and ends of all later streams
  // evenly.
  const firstLength = 1 + Math.floor(random() * settings.tokensPerStream);
  setTimeout(
    () => {
      keepStreamOpen(stream < settings.relayed, firstLength);
    },
    (stream / streams) * settings.rampMs,
  );
}

const samplesOf = ({ gaps, transit }: ReturnType<typeof createSampleBuffers>): Samples => ({
  gapsUs: Float64Array.from(gaps),
  transitUs: Float64Array.from(transit),
});

runChild(
  {},
  () => {
    relayed = createSampleBuffers();
    direct = createSampleBuffers();
    complete = 0;
    incomplete = 0;
    isMeasuring = true;
  },
  (): CallerResult => {
    isMeasuring = false;
    return {
      relayed: samplesOf(relayed),
      direct: samplesOf(direct),
      complete,
      incomplete,
      outOfOrder,
    };
  },
);
