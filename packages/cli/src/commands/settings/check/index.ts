import { Args } from '@oclif/core';
import { entrySettings } from '@zinniagrade/entry';
import { operatorSettingsSchema } from '@zinniagrade/operator';
import { readSettings } from '@zinniagrade/settings';
import { collectorSettingsSchema } from '@zinniagrade/timeline';
import { OperatorCommand } from '../../../operator-command.js';

const schemas = {
  entry: entrySettings,
  operator: operatorSettingsSchema,
  timeline: collectorSettingsSchema,
} as const;
type ProcessName = keyof typeof schemas;

export default class Check extends OperatorCommand {
  static override summary = 'Check the settings file of a process without starting it.';
  static override args = {
    process: Args.custom<ProcessName>({
      description: 'the process whose settings these are',
      options: Object.keys(schemas) as ProcessName[],
    })({ required: true }),
    file: Args.string({ description: 'the JSON settings file', required: true }),
  };

  async run(): Promise<object> {
    const { args } = await this.parse(Check);
    this.resultOrExit(readSettings<unknown>(schemas[args.process], args.file).map(() => undefined));
    this.log(`${args.file}: settings of ${args.process} are valid`);
    return { valid: true, process: args.process };
  }
}
