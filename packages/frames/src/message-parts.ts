import { Failure } from '@zinniagrade/errors';
import { Either, Left, Right } from 'purify-ts';
import { decodeBody, encodeBody, encodeFrame, maxFrameBytes } from './frame-codec.js';

/**
 * Maximum length of an encoded message. It is far above the largest value that a store is known to
 * hold, and small enough for a process to keep one from each of a few peers in memory.
 */
export const maxMessageBytes = 16 * 1024 * 1024;

const partKind = 'message-part';
/** Leaves room in the frame for the other fields of a part. */
const maxPartBytes = maxFrameBytes / 2;

/** A part of a message that is too large for one frame; `rest` is the number of parts after it. */
interface MessagePart {
  readonly kind: typeof partKind;
  readonly rest: number;
  readonly bytes: Uint8Array;
}

const isMessagePart = (message: unknown): message is MessagePart => {
  if (typeof message !== 'object' || message === null) {
    return false;
  }
  const { kind, rest, bytes } = message as Partial<Record<keyof MessagePart, unknown>>;
  return kind === partKind && Number.isSafeInteger(rest) && bytes instanceof Uint8Array;
};

const encodeParts = (body: Buffer): Either<Failure, Buffer> => {
  const count = Math.ceil(body.length / maxPartBytes);
  const frames: Either<Failure, Buffer>[] = [];
  for (let index = 0; index < count; index += 1) {
    const bytes = body.subarray(index * maxPartBytes, (index + 1) * maxPartBytes);
    const part: MessagePart = { kind: partKind, rest: count - 1 - index, bytes };
    frames.push(encodeFrame(part));
  }
  return Either.sequence(frames).map((encoded) => Buffer.concat(encoded));
};

/** Encodes a message as one frame, or as several if it is too large for one. */
export const encodeMessage = (message: unknown): Either<Failure, Buffer> =>
  encodeFrame(message).alt(
    Either.of<Failure, Buffer>(encodeBody(message)).chain((body) =>
      body.length > maxMessageBytes
        ? Left(
            Failure.create(
              'protocol-violation',
              `message of ${body.length} bytes exceeds the limit of ${maxMessageBytes} bytes`,
            ),
          )
        : encodeParts(body),
    ),
  );

/** A part of a message has arrived, or a whole message. */
export type Arrival =
  { readonly kind: 'part' } | { readonly kind: 'message'; readonly message: unknown };

/** Joins the parts of messages that one connection delivers in order. */
export interface MessageAssembler {
  /** Fails if parts are missing, too large together, or not valid CBOR. */
  readonly add: (message: unknown) => Either<Failure, Arrival>;
}

export const MessageAssembler = {
  create: (): MessageAssembler => {
    let parts: Uint8Array[] = [];
    let bytes = 0;
    /** Number of parts that complete the message that has begun; 0 if none has. */
    let missing = 0;

    const fail = (detail: string): Either<Failure, never> =>
      Left(Failure.create('protocol-violation', detail));

    const join = (): Either<Failure, Arrival> => {
      const body = Buffer.concat(parts);
      parts = [];
      bytes = 0;
      try {
        return Right({ kind: 'message', message: decodeBody(body) });
      } catch (error) {
        return fail(`message in parts is not valid CBOR: ${String(error)}`);
      }
    };

    return {
      add: (message) => {
        if (!isMessagePart(message)) {
          return Right({ kind: 'message', message });
        }
        const isNext = missing === 0 || message.rest === missing - 1;
        if (!isNext || message.rest < 0) {
          return fail(`part with ${message.rest} after it where ${missing} are missing`);
        }
        bytes += message.bytes.length;
        if (bytes > maxMessageBytes) {
          return fail(`message in parts exceeds the limit of ${maxMessageBytes} bytes`);
        }
        // The bytes of a frame belong to its buffer, so a copy keeps no more than the part itself.
        parts.push(Uint8Array.from(message.bytes));
        missing = message.rest;
        return missing === 0 ? join() : Right({ kind: 'part' });
      },
    };
  },
};
