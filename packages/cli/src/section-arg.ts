import { Args } from '@oclif/core';
import { type SectionName, sections } from '@zinniagrade/operator';

export const sectionArg = Args.custom<SectionName>({
  description: 'section of the configuration',
  options: Object.keys(sections) as SectionName[],
})({ required: true });
