import { Args } from '@oclif/core';
import { OperatorCommand, repeatHint, writeFlags } from '../../../operator-command.js';

export default class Return extends OperatorCommand {
  static override summary = 'Return a data centre to service.';
  static override args = {
    id: Args.string({ description: 'id of the data centre', required: true }),
  };
  static override flags = writeFlags;

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Return);
    const client = this.connect(flags);
    const write = await this.prepareWrite(client, flags);
    const answer = await client.returnDataCentre(write, args.id);
    const result = this.resultOrExit(answer, repeatHint(write));
    client.close();
    this.log(
      result.provisional
        ? `${args.id} returned provisionally; the store does not answer`
        : `${args.id} returned at revision ${result.revision}`,
    );
    return { ...result, operationId: write.operationId };
  }
}
