import { Failure } from '@zinniagrade/errors';
import { type Configuration, emptyConfiguration } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import { type ConfigurationSnapshot, isSectionName, sections } from './wire.js';

/** Returns the whole configuration, one section of it, or one entry of a section. */
export const readConfigurationPart = (
  aged: ConfigurationSnapshot,
  section: string,
  id: string,
): Either<Failure, ConfigurationSnapshot> => {
  if (section === '') {
    return Right(aged);
  }
  if (!isSectionName(section)) {
    const names = Object.keys(sections).join(', ');
    return Left(
      Failure.create('invalid-request', `section: expected one of ${names}; found "${section}"`),
    );
  }
  const { configuration } = aged;
  const key = sections[section];
  const entries: Readonly<Record<string, unknown>> = configuration[key];
  if (id !== '' && !Object.hasOwn(entries, id)) {
    return Left(Failure.create('not-found', `"${id}" not found in ${section}`));
  }
  const part = id === '' ? entries : { [id]: entries[id] };
  return Right({
    ...aged,
    configuration: {
      ...emptyConfiguration,
      revision: configuration.revision,
      ...({ [key]: part } as Partial<Configuration>),
    },
  });
};
