import { Args } from '@oclif/core';
import { sections } from '@zinniagrade/operator';
import { connectionFlags, OperatorCommand } from '../../operator-command.js';
import { sectionArg } from '../../section-arg.js';

export default class Describe extends OperatorCommand {
  static override summary = 'Show one entry of the configuration.';
  static override args = {
    section: sectionArg,
    id: Args.string({ description: 'id of the entry', required: true }),
  };
  static override flags = connectionFlags;

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Describe);
    const client = this.connect(flags);
    const { ageMs, configuration } = this.resultOrExit(await client.get(args.section, args.id));
    client.close();
    const entry = configuration[sections[args.section]][args.id];
    this.log(JSON.stringify(entry, undefined, 2));
    return { revision: configuration.revision, ageMs, entry };
  }
}
