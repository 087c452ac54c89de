import { fileURLToPath } from 'node:url';
import {
  loadPackageDefinition,
  type ServiceClientConstructor,
  type GrpcObject,
} from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';

const protoFile = fileURLToPath(new URL('../proto/zinniagrade.proto', import.meta.url));

/** Metadata of an error: the kind of the closed list. */
export const errorKindMetadataKey = 'zinniagrade-kind';

/** A whole configuration of 16,000 client accounts and 12,000 upstreams has about 6 MB. */
export const maxMessageBytes = 64 * 1024 * 1024;

/** Loads the committed schema file. Throws when it is missing or not valid. */
export const loadOperatorService = (): ServiceClientConstructor => {
  const definition = loadSync(protoFile, { longs: Number, defaults: true, arrays: true });
  let scope: GrpcObject = loadPackageDefinition(definition);
  for (const packageName of ['zinniagrade', 'v1']) {
    scope = scope[packageName] as GrpcObject;
  }
  return scope.Operator as ServiceClientConstructor;
};
