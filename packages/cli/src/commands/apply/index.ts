import { readFileSync } from 'node:fs';
import { Args } from '@oclif/core';
import type { Change } from '@zinniagrade/types';
import { Either } from 'purify-ts';
import { exitCodes } from '../../exit-codes.js';
import { OperatorCommand, repeatHint, writeFlags } from '../../operator-command.js';

export default class Apply extends OperatorCommand {
  static override summary = 'Commit the changes of a JSON file, all together or none.';
  static override args = {
    file: Args.string({ description: 'a JSON file { "changes": [...] }', required: true }),
  };
  static override flags = writeFlags;

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Apply);
    const changes = Either.encase(
      () => (JSON.parse(readFileSync(args.file, 'utf8')) as { changes: unknown }).changes,
    ).caseOf({
      Left: ({ message }) => this.error(`${args.file}: ${message}`, { exit: exitCodes.usage }),
      Right: (found) =>
        Array.isArray(found)
          ? (found as readonly Change[])
          : this.error(`${args.file}: changes: expected a list`, { exit: exitCodes.usage }),
    });
    const client = this.connect(flags);
    const write = await this.prepareWrite(client, flags);
    const result = this.resultOrExit(await client.apply(write, changes), repeatHint(write));
    client.close();
    this.log(`accepted as revision ${result.revision}`);
    return { ...result, operationId: write.operationId };
  }
}
