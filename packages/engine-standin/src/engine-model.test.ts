import { expect } from 'chai';
import type { EngineModelSettings } from './engine-model-settings.js';
import type { EngineRequest, EngineSink } from './engine-model.js';
import { EngineModel } from './engine-model.js';

interface RecordingSink extends EngineSink {
  readonly tokens: Map<string, number[]>;
  readonly ends: string[];
  readonly failures: string[];
  readonly preemptions: string[];
}

const createRecordingSink = (): RecordingSink => {
  const tokens = new Map<string, number[]>();
  const [ends, failures, preemptions]: [string[], string[], string[]] = [[], [], []];
  return {
    tokens,
    ends,
    failures,
    preemptions,
    token: (id, index) => tokens.set(id, [...(tokens.get(id) ?? []), index]),
    ended: (id) => ends.push(id),
    failed: (id) => failures.push(id),
    preempted: (id) => preemptions.push(id),
  };
};

const createRequest = (id: string, partial: Partial<EngineRequest> = {}): EngineRequest => ({
  id,
  promptTokens: 10,
  outputTokens: 5,
  priority: 0,
  ...partial,
});

const runEngine = (
  settings: Partial<EngineModelSettings>,
  requests: readonly EngineRequest[],
  untilMs = 60_000,
) => {
  const [model, sink] = [EngineModel.create(settings), createRecordingSink()];
  for (const request of requests) {
    model.submit(request, 0);
  }
  model.advance(untilMs, sink);
  return { model, sink };
};

describe('engine model', () => {
  it('produces every token of a generation once and in order', () => {
    const { sink } = runEngine({}, [createRequest('a'), createRequest('b', { outputTokens: 2 })]);
    expect(sink.tokens.get('a')).to.deep.equal([0, 1, 2, 3, 4]);
    expect(sink.ends).to.deep.equal(['b', 'a']);
  });

  it('preempts the newest stream of the lowest priority when memory is full, and completes it later', () => {
    const requests = ['a', 'b', 'c'].map((id) =>
      createRequest(id, { outputTokens: 30, priority: 1 }),
    );
    const { sink, model } = runEngine({ memoryTokens: 60 }, [
      ...requests.slice(0, 2),
      createRequest('low', { outputTokens: 30 }),
      ...requests.slice(2),
    ]);
    expect(sink.preemptions[0]).to.equal('low');
    expect(sink.ends).to.have.length(4);
    expect(sink.tokens.get('low')).to.have.length(30);
    expect(model.load().memoryTokensUsed).to.equal(0);
  });

  it('takes longer for a step when the batch is larger', () => {
    const tokensOfSmallBatch = runEngine(
      {},
      [createRequest('a', { outputTokens: 1000 })],
      5000,
    ).sink.tokens.get('a');
    const requests = Array.from({ length: 32 }, (_, i) =>
      createRequest(`${i}`, { outputTokens: 1000 }),
    );
    const tokensOfLargeBatch = runEngine({}, requests, 5000).sink.tokens.get('0');
    expect(tokensOfLargeBatch?.length).to.be.below(tokensOfSmallBatch?.length ?? 0);
  });

  it('prefills a prompt faster when its prefix is cached', () => {
    const longPrompt = {
      promptTokens: 6400,
      prefixes: Array.from({ length: 100 }, (_, i) => `p${i}`),
    };
    const [model, sink] = [EngineModel.create(), createRecordingSink()];
    model.submit(createRequest('a', { ...longPrompt, outputTokens: 1 }), 0);
    const coldAt = model.stepEndsAt();
    model.advance(10_000, sink);
    model.submit(createRequest('b', { ...longPrompt, outputTokens: 1 }), 10_000);
    expect(model.stepEndsAt() - 10_000).to.be.below(coldAt);
  });

  it('fails the whole batch of a cold engine when more than coldSlots streams run', () => {
    const { sink, model } = runEngine({ startsCold: true }, [
      createRequest('a'),
      createRequest('b'),
    ]);
    expect(sink.failures).to.have.members(['a', 'b']);
    expect(model.streamLimit()).to.equal(1);
  });

  it('is warm after warmUpMs of busy time without overload', () => {
    const { model } = runEngine({ startsCold: true }, [createRequest('a', { outputTokens: 100 })]);
    expect(model.load().warm).to.equal(true);
  });

  it('reports its load with the configured lag', () => {
    const { model, sink } = runEngine(
      { loadLagMs: 500 },
      [createRequest('a', { outputTokens: 100 })],
      400,
    );
    expect(model.report(400).running).to.equal(0);
    model.advance(1000, sink);
    expect(model.report(1000).running).to.equal(1);
  });

  it('produces no tokens of a cancelled generation and frees its memory', () => {
    const [model, sink] = [EngineModel.create(), createRecordingSink()];
    model.submit(createRequest('a'), 0);
    expect(model.cancel('a')).to.equal(true);
    model.advance(1000, sink);
    expect(sink.tokens.size).to.equal(0);
    expect(model.load().memoryTokensUsed).to.equal(0);
  });
});
