import { sections } from '@zinniagrade/operator';
import { connectionFlags, OperatorCommand } from '../../operator-command.js';
import { sectionArg } from '../../section-arg.js';

export default class List extends OperatorCommand {
  static override summary = 'List the entries of one section of the configuration.';
  static override args = { section: sectionArg };
  static override flags = connectionFlags;

  async run(): Promise<object> {
    const { args, flags } = await this.parse(List);
    const client = this.connect(flags);
    const { ageMs, configuration } = this.resultOrExit(await client.list(args.section));
    client.close();
    const section: Readonly<Record<string, { readonly id: string }>> =
      configuration[sections[args.section]];
    const entries = Object.values(section);
    for (const entry of entries) {
      this.log(entry.id);
    }
    return { revision: configuration.revision, ageMs, entries };
  }
}
