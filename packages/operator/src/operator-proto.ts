import { fileURLToPath } from 'node:url';
import {
  loadPackageDefinition,
  type ServiceClientConstructor,
  type GrpcObject,
} from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';

const protoFile = fileURLToPath(new URL('../proto/zinniagrade.proto', import.meta.url));

/** Metadata key under which an error carries its kind. */
export const errorKindMetadataKey = 'zinniagrade-kind';

/** The whole configuration with 16,000 client accounts and 12,000 upstreams takes about 6 MB. */
export const maxMessageBytes = 64 * 1024 * 1024;

/** Loads the schema file; throws if it is missing or invalid. */
export const loadOperatorService = (): ServiceClientConstructor => {
  const definition = loadSync(protoFile, { longs: Number, defaults: true, arrays: true });
  let scope: GrpcObject = loadPackageDefinition(definition);
  for (const packageName of ['zinniagrade', 'v1']) {
    scope = scope[packageName] as GrpcObject;
  }
  return scope.Operator as ServiceClientConstructor;
};
