import { readFileSync } from 'node:fs';
import { Failure } from '@zinniagrade/errors';
import { Either, Left, Right } from 'purify-ts';
import type { z } from 'zod';

/** A field of a document that does not match the schema. */
export interface FieldError {
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

const describeValue = (value: unknown): string => {
  const text = JSON.stringify(value) as string | undefined;
  return text === undefined ? 'nothing' : text.length > 60 ? `${text.slice(0, 57)}...` : text;
};

const valueAt = (document: unknown, path: readonly PropertyKey[]): unknown => {
  let value = document;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
};

/** Checks a document against a schema. The left side lists every invalid field. */
export const checkDocument = <Document>(
  schema: z.ZodType<Document>,
  document: unknown,
): Either<readonly FieldError[], Document> => {
  const result = schema.safeParse(document);
  if (result.success) {
    return Right(result.data);
  }
  return Left(
    result.error.issues.map((issue) => ({
      path: issue.path.length === 0 ? '(root)' : issue.path.map(String).join('.'),
      expected: issue.message,
      found:
        issue.code === 'unrecognized_keys'
          ? issue.keys.join(', ')
          : describeValue(valueAt(document, issue.path)),
    })),
  );
};

export const formatFieldErrors = (errors: readonly FieldError[]): string =>
  errors.map(({ path, expected, found }) => `${path}: ${expected}; found ${found}`).join('\n');

/** Reads a JSON settings file and checks it against a schema. */
export const readSettings = <Settings>(
  schema: z.ZodType<Settings>,
  file: string,
): Either<Failure, Settings> =>
  Either.encase(() => JSON.parse(readFileSync(file, 'utf8')) as unknown)
    .mapLeft((error) => Failure.create('invalid-settings', `${file}: ${error.message}`))
    .chain((document) =>
      checkDocument(schema, document).mapLeft((errors) =>
        Failure.create('invalid-settings', `${file}:\n${formatFieldErrors(errors)}`),
      ),
    );

/**
 * Reads the settings file named by the first argument. If that fails, writes the errors to standard
 * error and exits with code 2.
 */
export const readSettingsOrExit = <Settings>(schema: z.ZodType<Settings>): Settings => {
  const [file] = process.argv.slice(2);
  if (file === undefined) {
    process.stderr.write('usage: pass the path of the JSON settings file as the only argument\n');
    process.exit(2);
  }
  return readSettings(schema, file).caseOf({
    Left: ({ detail }) => {
      process.stderr.write(`${detail}\n`);
      process.exit(2);
    },
    Right: (settings) => settings,
  });
};
