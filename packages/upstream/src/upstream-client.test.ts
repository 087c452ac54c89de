import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { errorResponses } from '@zinniagrade/errors';
import { expect } from 'chai';
import { ChunkScanner, LineSplitter, parseStreamLine } from './stream-lines.js';
import { UpstreamClient, defaultUpstreamTimeouts } from './upstream-client.js';

const call = { requestId: 'r1', operation: 'credit', arguments: {} };

/** The result of one call, or its error kind and whether that proves that the call did not run. */
const outcomeOf = async (
  respond: ((socket: Socket) => void) | undefined,
  callMs = 5_000,
): Promise<string> => {
  const server = createServer();
  server.on('connection', (socket: Socket) => {
    socket.on('error', () => undefined);
  });
  server.on('request', (request) => {
    request.resume();
    request.on('end', () => respond?.(request.socket));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  if (respond === undefined) {
    await new Promise((resolve) => server.close(resolve));
  }
  const client = UpstreamClient.create({ ...defaultUpstreamTimeouts, callMs });
  const outcome = await client.call({ host: '127.0.0.1', port }, call);
  await client.close();
  server.closeAllConnections();
  server.close();
  return outcome.caseOf({
    Left: ({ kind }) => `${kind} ${errorResponses[kind].ran}`,
    Right: (result) => JSON.stringify(result),
  });
};

const jsonResponse = (status: string, body: unknown) => (socket: Socket) => {
  const text = JSON.stringify(body);
  socket.end(`HTTP/1.1 ${status}\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
};

describe('upstream client', () => {
  it('reports not-run only without a connection or after a refusal by the upstream itself', async () => {
    expect(await outcomeOf(undefined)).to.equal('upstream-unreachable not-run');
    expect(await outcomeOf(jsonResponse('503 Busy', { refused: 'full' }))).to.equal(
      'upstream-refused not-run',
    );
  });

  it('reports an unknown outcome after a reset, a timeout, another error or a truncated response', async () => {
    expect(await outcomeOf((socket) => socket.resetAndDestroy())).to.equal(
      'upstream-failed unknown',
    );
    expect(await outcomeOf(() => undefined, 100)).to.equal('upstream-timeout unknown');
    expect(await outcomeOf(jsonResponse('503 Busy', { error: 'x' }))).to.equal(
      'upstream-failed unknown',
    );
    expect(await outcomeOf(jsonResponse('500 Error', { refused: 'full' }))).to.equal(
      'upstream-failed unknown',
    );
    expect(
      await outcomeOf((socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{"re')),
    ).to.equal('upstream-failed unknown');
  });

  it('discards a response to another request', async () => {
    expect(await outcomeOf(jsonResponse('200 OK', { requestId: 'r2', result: 1 }))).to.equal(
      'outcome-unknown unknown',
    );
    expect(await outcomeOf(jsonResponse('200 OK', { requestId: 'r1', result: 1 }))).to.equal('1');
  });
});

describe('stream lines', () => {
  it('are reassembled from chunks of any size, even when a character is split', () => {
    const bytes = Buffer.from('{"generation":"g","index":0,"text":"é"}\n\nx\n');
    for (let size = 1; size < bytes.length; size += 1) {
      const splitter = LineSplitter.create();
      const lines: string[] = [];
      for (let start = 0; start < bytes.length; start += size) {
        splitter.push(bytes.subarray(start, start + size), (line) => lines.push(line));
      }
      const decoded = lines.map((line) => Buffer.from(line, 'latin1').toString());
      expect(decoded).to.deep.equal(['{"generation":"g","index":0,"text":"é"}', 'x']);
    }
  });

  it('keep the text of a token whatever its characters and the form of the line', () => {
    for (const text of ['', 'plain', 'say "a\\b"', '\n\u0000', 'é 漢 \u{1f600}', '{"index":7}']) {
      const line = { generation: 'g', index: 3, text };
      for (const json of [
        JSON.stringify(line),
        JSON.stringify({ index: 3, text, generation: 'g' }),
        JSON.stringify(line, undefined, 1).replaceAll('\n', ''),
      ]) {
        const bytes = Buffer.from(json).toString('latin1');
        const parsed = parseStreamLine(bytes);
        expect(parsed).to.include({ kind: 'chunk', generation: 'g', index: 3 });
        const canonicalLine = parsed?.kind === 'chunk' ? parsed.line : '';
        expect(JSON.parse(Buffer.from(canonicalLine, 'latin1').toString())).to.deep.equal(line);
        const scannedIndex = ChunkScanner.create('g').chunkIndexOf(bytes);
        expect(scannedIndex === -1 || (scannedIndex === 3 && bytes === canonicalLine)).to.equal(
          true,
        );
      }
    }
  });

  it('are forwarded without parsing only if they are a chunk in the exact form', () => {
    const { chunkIndexOf } = ChunkScanner.create('g');
    const linePrefix = '{"generation":"g","index":';
    expect(chunkIndexOf(`${linePrefix}12,"text":"a b"}`)).to.equal(12);
    const otherLines = [
      `${linePrefix}12,"text":"a","end":true}`,
      `${linePrefix}12,"text":"a"`,
      `${linePrefix}12,"text":"}`,
      `${linePrefix}012,"text":"a"}`,
      `${linePrefix},"text":"a"}`,
      `${linePrefix}1e3,"text":"a"}`,
      `${linePrefix}1234567890,"text":"a"}`,
      '{"generation":"h","index":12,"text":"a"}',
    ];
    for (const line of otherLines) {
      expect(chunkIndexOf(line)).to.equal(-1);
    }
  });

  it('are rejected if a field is missing or has the wrong type', () => {
    for (const line of [
      '{',
      '[]',
      '{"generation":"g"}',
      '{"generation":"g","index":"0","text":""}',
    ]) {
      expect(parseStreamLine(line)).to.equal(undefined);
    }
  });
});
