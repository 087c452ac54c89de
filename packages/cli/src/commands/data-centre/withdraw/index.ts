import { Args } from '@oclif/core';
import { OperatorCommand, repeatHint, writeFlags } from '../../../operator-command.js';

export default class Withdraw extends OperatorCommand {
  static override summary =
    'Withdraw a data centre: it gets no new work within 3 s, also while the store is down.';
  static override args = {
    id: Args.string({ description: 'id of the data centre', required: true }),
  };
  static override flags = writeFlags;

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Withdraw);
    const client = this.connect(flags);
    const write = await this.prepareWrite(client, flags);
    const answer = await client.withdrawDataCentre(write, args.id);
    const result = this.resultOrExit(answer, repeatHint(write));
    client.close();
    this.log(
      result.provisional
        ? `${args.id} withdrawn provisionally; the store does not answer`
        : `${args.id} withdrawn at revision ${result.revision}`,
    );
    return { ...result, operationId: write.operationId };
  }
}
