import { Args } from '@oclif/core';
import { exitCodes } from '../../../exit-codes.js';
import { connectionFlags, OperatorCommand } from '../../../operator-command.js';
import { describeMoveEvent, watchUntilEnded } from '../../../watch-until-ended.js';

export default class Watch extends OperatorCommand {
  static override summary = 'Follow a move until it has ended. Exit code 1 when it was taken back.';
  static override args = {
    id: Args.string({ description: 'id of the move', required: true }),
  };
  static override flags = connectionFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Watch);
    const client = this.connect(flags);
    const watched = await watchUntilEnded(client, [args.id], (event) => {
      this.printItem(event, describeMoveEvent(event));
    });
    client.close();
    const ended = this.resultOrExit(watched);
    if (ended.some(({ phase }) => phase !== 'done')) {
      process.exitCode = exitCodes.refused;
    }
  }
}
