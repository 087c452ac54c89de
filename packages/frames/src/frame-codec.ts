import { Failure } from '@zinniagrade/errors';
import { PendingBytes } from '@zinniagrade/pending-bytes';
import { Decoder, Encoder } from 'cbor-x';
import { Either, Left, Right } from 'purify-ts';

/**
 * Maximum length of a frame's body. A peer that exceeds it violates the protocol. Larger messages are
 * sent in parts, see `encodeMessage`.
 */
export const maxFrameBytes = 256 * 1024;

const lengthBytes = 4;
const options = { useRecords: false, mapsAsObjects: true, variableMapSize: true } as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

export const encodeBody = (message: unknown): Buffer => encoder.encode(message);

/** Throws if the bytes are not valid CBOR. */
export const decodeBody = (body: Uint8Array): unknown => decoder.decode(body);

/** Encodes a message as a frame: the length in 4 bytes, big endian, then the body in CBOR. */
export const encodeFrame = (message: unknown): Either<Failure, Buffer> => {
  const body = encodeBody(message);
  if (body.length > maxFrameBytes) {
    return Left(
      Failure.create(
        'protocol-violation',
        `frame body of ${body.length} bytes exceeds the limit of ${maxFrameBytes} bytes`,
      ),
    );
  }
  const frame = Buffer.allocUnsafe(lengthBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthBytes);
  return Right(frame);
};

/** Decodes the messages of a byte stream. After an invalid frame it returns only that failure. */
export interface FrameReader {
  readonly push: (bytes: Buffer) => Either<Failure, readonly unknown[]>;
}

export const FrameReader = {
  create: (): FrameReader => {
    const pending = PendingBytes.create();
    let failure: Failure | undefined;

    const fail = (detail: string): Either<Failure, never> => {
      failure = Failure.create('protocol-violation', detail);
      pending.consume(pending.size());
      return Left(failure);
    };

    return {
      push: (bytes) => {
        if (failure !== undefined) {
          return Left(failure);
        }
        pending.append(bytes);
        const buffered = pending.view();
        const messages: unknown[] = [];
        let offset = 0;
        while (buffered.length - offset >= lengthBytes) {
          const length = buffered.readUInt32BE(offset);
          if (length === 0 || length > maxFrameBytes) {
            return fail(`frame length ${length} is not between 1 and ${maxFrameBytes}`);
          }
          const end = offset + lengthBytes + length;
          if (buffered.length < end) {
            break;
          }
          try {
            messages.push(decodeBody(buffered.subarray(offset + lengthBytes, end)));
          } catch (error) {
            return fail(`frame body is not valid CBOR: ${String(error)}`);
          }
          offset = end;
        }
        pending.consume(offset);
        return Right(messages);
      },
    };
  },
};
