import { hash32 } from '@zinniagrade/credits';

/** Characters of one prefix block: about 64 tokens. */
export const prefixBlockChars = 256;
const maxBlocks = 32;

/** Hashes of the leading whole blocks of a prompt. Each hash also covers all blocks before its own. */
export const promptPrefixes = (prompt: string): readonly string[] => {
  const prefixes: string[] = [];
  let previous = 0;
  for (
    let end = prefixBlockChars;
    end <= prompt.length && prefixes.length < maxBlocks;
    end += prefixBlockChars
  ) {
    previous = hash32(`${previous}/${prompt.slice(end - prefixBlockChars, end)}`);
    prefixes.push(previous.toString(16).padStart(8, '0'));
  }
  return prefixes;
};
