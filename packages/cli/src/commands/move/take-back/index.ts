import { Args, Flags } from '@oclif/core';
import { OperatorCommand, repeatHint, writeFlags } from '../../../operator-command.js';

export default class TakeBack extends OperatorCommand {
  static override summary = 'Take a move back at once.';
  static override args = {
    id: Args.string({ description: 'id of the move', required: true }),
  };
  static override flags = {
    ...writeFlags,
    reason: Flags.string({ description: 'reason for taking it back', default: '' }),
  };

  async run(): Promise<object> {
    const { args, flags } = await this.parse(TakeBack);
    const client = this.connect(flags);
    const write = await this.prepareWrite(client, flags);
    const answer = await client.takeBackMove(write, args.id, flags.reason);
    const result = this.resultOrExit(answer, repeatHint(write));
    client.close();
    this.log(`move ${args.id} taken back at revision ${result.revision}`);
    return { ...result, operationId: write.operationId };
  }
}
