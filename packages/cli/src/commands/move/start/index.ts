import { Args, Flags } from '@oclif/core';
import { OperatorCommand, repeatHint, writeFlags } from '../../../operator-command.js';

const msPerSecond = 1000;

export default class Start extends OperatorCommand {
  static override summary = 'Start to move the traffic of a service to another version.';
  static override args = {
    service: Args.string({ description: 'id of the service', required: true }),
    version: Args.string({ description: 'id of the new version', required: true }),
  };
  static override flags = {
    ...writeFlags,
    id: Flags.string({
      description: 'id of the move; default: made from service, version and start time',
    }),
    within: Flags.integer({
      description: 'seconds from the start to the deadline',
      min: 10,
      required: true,
    }),
    'start-in': Flags.integer({ description: 'seconds until the start', min: 0, default: 0 }),
  };

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Start);
    const client = this.connect(flags);
    const write = await this.prepareWrite(client, flags);
    const startAt = Date.now() + flags['start-in'] * msPerSecond;
    const move = {
      id: flags.id ?? `${args.service}-${args.version}-${startAt}`,
      service: args.service,
      toVersion: args.version,
      startAt,
      deadlineAt: startAt + flags.within * msPerSecond,
    };
    const result = this.resultOrExit(await client.startMove(write, move), repeatHint(write));
    client.close();
    this.log(`move ${move.id} accepted as revision ${result.revision}`);
    return { ...result, operationId: write.operationId, move: move.id };
  }
}
