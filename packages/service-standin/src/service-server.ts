import type { Clock } from '@zinniagrade/clock';
import type { LoadReport } from '@zinniagrade/types';
import { z } from 'zod';
import type { JsonAnswer, JsonRequest } from './json-server.js';
import { JsonServer, checkBody } from './json-server.js';

/** Settings of the service stand-in. */
export const serviceStandInSettingsSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.number().int().min(0).max(65_535),
  version: z.string().default('v1'),
  /** Duration of one call, in milliseconds. */
  workMs: z.number().min(0).default(5),
});

export type ServiceStandInSettings = z.infer<typeof serviceStandInSettingsSchema>;

const operationField = { operation: z.string().optional() };

/** A fault applies to the next `count` calls, or to those of `operation` if it is set. */
const faultSchema = z.discriminatedUnion('kind', [
  /** Answers 503 before any work. */
  z.strictObject({ kind: z.literal('refuse'), count: z.number().int(), ...operationField }),
  /** Closes the connection before any work; the caller can't know that nothing ran. */
  z.strictObject({ kind: z.literal('reset-before'), count: z.number().int(), ...operationField }),
  /** Closes the connection after the work. */
  z.strictObject({ kind: z.literal('reset-after'), count: z.number().int(), ...operationField }),
  /** Ends the process before or after the work. */
  z.strictObject({ kind: z.literal('die-before'), count: z.number().int(), ...operationField }),
  z.strictObject({ kind: z.literal('die-after'), count: z.number().int(), ...operationField }),
  /** Runs the call immediately and answers `delayMs` after it ended. */
  z.strictObject({
    kind: z.literal('late'),
    count: z.number().int(),
    delayMs: z.number(),
    ...operationField,
  }),
  /** Holds one answer until a second one is ready, then sends each to the other's caller. */
  z.strictObject({ kind: z.literal('crossed'), count: z.number().int(), ...operationField }),
]);

type Fault = z.infer<typeof faultSchema>;

const callSchema = z.strictObject({
  requestId: z.string().min(1),
  operation: z.string().min(1),
  arguments: z.unknown(),
});

type Call = z.infer<typeof callSchema>;

/** A call that ran, as `GET /runs` lists it. */
export interface CallRecord {
  readonly requestId: string;
  readonly operation: string;
  readonly arguments: unknown;
  /** Wall-clock time of the stand-in. */
  readonly at: number;
}

type ResolveAnswer = (answer: JsonAnswer) => void;

/**
 * A plain service that records every call that ran. Answers echo the arguments, so that swapped
 * answers can be detected. Only for tests: `POST /faults` (an empty list clears the faults) and
 * `GET /runs`.
 */
export const ServiceStandIn = {
  create: async (
    settings: ServiceStandInSettings,
    clock: Clock,
    exitProcess: () => void,
  ): Promise<JsonServer> => {
    const runs: CallRecord[] = [];
    let pendingFaults: { fault: Fault; remaining: number }[] = [];
    let heldAnswer: { readonly answer: JsonAnswer; readonly resolve: ResolveAnswer } | undefined;
    let running = 0;
    let reportCount = 0;

    const takeFault = ({ operation }: Call): Fault | undefined => {
      const pendingFault = pendingFaults.find(
        ({ fault, remaining }) => remaining > 0 && (fault.operation ?? operation) === operation,
      );
      if (pendingFault !== undefined) {
        pendingFault.remaining -= 1;
      }
      return pendingFault?.fault;
    };

    const sleep = (delayMs: number): Promise<void> =>
      new Promise((resolve) => clock.after(delayMs, resolve));

    const swapAnswers = (answer: JsonAnswer): Promise<JsonAnswer> =>
      new Promise((resolve) => {
        if (heldAnswer === undefined) {
          heldAnswer = { answer, resolve };
          return;
        }
        resolve(heldAnswer.answer);
        heldAnswer.resolve(answer);
        heldAnswer = undefined;
      });

    const execute = async (call: Call): Promise<JsonAnswer> => {
      running += 1;
      const { requestId, operation, arguments: callArguments } = call;
      runs.push({ requestId, operation, arguments: callArguments, at: clock.wallMs() });
      await sleep(settings.workMs);
      running -= 1;
      return { status: 200, body: { requestId, result: { operation, echo: callArguments } } };
    };

    const closeConnection = ({ response }: JsonRequest): JsonAnswer => {
      response.destroy();
      return undefined;
    };

    const handleCall = async (call: Call, request: JsonRequest): Promise<JsonAnswer> => {
      const fault = takeFault(call);
      switch (fault?.kind) {
        case undefined:
          return execute(call);
        case 'refuse':
          return { status: 503, body: { refused: 'not accepting calls' } };
        case 'reset-before':
          return closeConnection(request);
        case 'die-before':
          exitProcess();
          return closeConnection(request);
        case 'reset-after':
          await execute(call);
          return closeConnection(request);
        case 'die-after':
          await execute(call);
          exitProcess();
          return closeConnection(request);
        case 'late': {
          const answer = await execute(call);
          await sleep(fault.delayMs);
          return answer;
        }
        case 'crossed':
          return swapAnswers(await execute(call));
      }
    };

    const createLoadReport = (): LoadReport => {
      reportCount += 1;
      const memory = { memoryTokensUsed: 0, memoryTokensTotal: 0, preemptions: 0 };
      const state = { running, waiting: 0, ...memory, warm: true, version: settings.version };
      return { sequence: reportCount, at: clock.wallMs(), ...state };
    };

    const handleRequest = async (request: JsonRequest): Promise<JsonAnswer> => {
      const {
        path: [resource],
        body,
      } = request;
      switch (resource) {
        case 'calls': {
          let call: Call | undefined;
          const validationError = checkBody(callSchema, body, (validCall) => {
            call = validCall;
            return undefined;
          });
          return call === undefined ? validationError : handleCall(call, request);
        }
        case 'load':
          return { status: 200, body: createLoadReport() };
        case 'runs':
          return { status: 200, body: { runs } };
        case 'faults':
          return checkBody(z.array(faultSchema), body, (newFaults) => {
            pendingFaults = newFaults.map((fault) => ({ fault, remaining: fault.count }));
            return { status: 200, body: {} };
          });
        default:
          return { status: 404, body: { error: 'not found' } };
      }
    };

    return JsonServer.create(settings.host, settings.port, handleRequest);
  },
};
