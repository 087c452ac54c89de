import { Flags } from '@oclif/core';
import type { Failure } from '@zinniagrade/errors';
import { type Either, Left, Right } from 'purify-ts';
import { connectionFlags, OperatorCommand } from '../../../operator-command.js';

export default class Follow extends OperatorCommand {
  static override summary = 'Follow the timeline of events of all processes.';
  static override flags = {
    ...connectionFlags,
    count: Flags.integer({ description: 'stop after this many events', min: 1 }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Follow);
    const client = this.connect(flags);
    const result = await new Promise<Either<Failure, undefined>>((resolve) => {
      let remaining = flags.count ?? Infinity;
      const stop = client.followTimeline(undefined, {
        onItem: (event) => {
          if (remaining > 0) {
            const time = new Date(event.time.wallMs).toISOString();
            const fields = JSON.stringify(event.fields);
            this.printItem(event, `${time} ${event.process} ${event.name} ${fields}`);
          }
          remaining -= 1;
          if (remaining === 0) {
            stop();
            resolve(Right(undefined));
          }
        },
        onEnd: (failure) => {
          resolve(failure === undefined ? Right(undefined) : Left(failure));
        },
      });
    });
    client.close();
    this.resultOrExit(result);
  }
}
