import { randomUUID } from 'node:crypto';
import { Command, Errors, Flags, type Interfaces } from '@oclif/core';
import type { Failure } from '@zinniagrade/errors';
import { OperatorClient, type Write } from '@zinniagrade/operator';
import type { Either } from 'purify-ts';
import { exitCodeForKind, exitCodes } from './exit-codes.js';

/** Flags for the connection to the operator process. */
export const connectionFlags = {
  address: Flags.string({
    description: 'host:port of an operator process',
    env: 'ZINNIAGRADE_ADDRESS',
    required: true,
  }),
  token: Flags.string({
    description: 'bearer token of the operator',
    env: 'ZINNIAGRADE_TOKEN',
    required: true,
  }),
};

/** Flags of commands that write. */
export const writeFlags = {
  ...connectionFlags,
  revision: Flags.integer({
    description: 'expected revision of the configuration; default: the current one',
    min: 0,
  }),
  'operation-id': Flags.string({
    description: 'operation id of an earlier attempt, to retry it idempotently',
  }),
};

interface ConnectionFlags {
  readonly address: string;
  readonly token: string;
}

interface WriteFlags {
  readonly revision?: number | undefined;
  readonly 'operation-id'?: string | undefined;
}

/** A failed call, with the exit code for its kind. */
class FailedCall extends Errors.CLIError {
  readonly kind: string;

  constructor({ detail, kind }: Failure, hint = '') {
    const exit = exitCodeForKind(kind);
    super(`${kind}: ${detail}${exit === exitCodes.unreachable ? hint : ''}`, { exit });
    this.kind = kind;
  }
}

/** Base of all commands: JSON output, and an exit code for each outcome. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  protected connect({ address, token }: ConnectionFlags): OperatorClient {
    const [, host, port] = /^(.+):(\d{1,5})$/.exec(address) ?? [];
    return host === undefined
      ? this.error(`--address: expected host:port; found ${address}`, { exit: exitCodes.usage })
      : OperatorClient.create({ host, port: Number(port) }, token);
  }

  /**
   * Returns the result of a call, or fails the command; the hint is added if the outcome is not
   * known.
   */
  protected resultOrExit<T>(answer: Either<Failure, T>, hint = ''): T {
    return answer.caseOf({
      Left: (failure) => {
        throw new FailedCall(failure, hint);
      },
      Right: (result) => result,
    });
  }

  /**
   * Operation id and expected revision from the flags. Without a revision the current one is read;
   * a retry by operation id has none unless it is given.
   */
  protected async prepareWrite(client: OperatorClient, flags: WriteFlags): Promise<Write> {
    const operationId = flags['operation-id'] ?? randomUUID();
    if (flags.revision !== undefined || flags['operation-id'] !== undefined) {
      return { operationId, expectedRevision: flags.revision };
    }
    const current = await client.get();
    // While the store is down, a data centre can still be withdrawn, without an expected revision.
    return current.caseOf({
      Left: (failure) =>
        failure.kind === 'store-unavailable'
          ? { operationId, expectedRevision: undefined }
          : this.resultOrExit<Write>(
              current.map(() => ({ operationId, expectedRevision: undefined })),
            ),
      Right: ({ configuration }) => ({ operationId, expectedRevision: configuration.revision }),
    });
  }

  /** Prints one line of a stream: JSON with `--json`, otherwise the text. */
  protected printItem(item: unknown, text: string): void {
    process.stdout.write(`${this.jsonEnabled() ? JSON.stringify(item) : text}\n`);
  }

  protected override catch(
    error: Interfaces.CommandError & Partial<Pick<FailedCall, 'kind' | 'oclif'>>,
  ): Promise<never> {
    if (this.jsonEnabled()) {
      const { kind = 'usage', message } = error;
      process.stdout.write(`${JSON.stringify({ error: { kind, message } })}\n`);
      this.exit(error.oclif?.exit ?? exitCodes.refused);
    }
    throw error;
  }
}

/** Hint on how to retry a write whose outcome is not known. */
export const repeatHint = ({ operationId }: Write): string =>
  ` (operation id ${operationId}; a retry with --operation-id is idempotent)`;
