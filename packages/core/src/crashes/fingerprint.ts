/**
 * Identifies requests by their content and the parts of their prompts. Every
 * retry of a caller has a new request id, so the id does not show that a request
 * has come before.
 */
import {createHash} from 'node:crypto';

/** Length of the part of a fingerprint that does not depend on the body. */
const OUTLINE_LENGTH = 8;

/** Length of the part of a fingerprint that depends on the body. */
const BODY_LENGTH = 22;

/** Prefix of the ids of prompt parts; no fingerprint contains a colon. */
const PART_PREFIX = 'part:';

/** Content of a request that stays the same when its caller sends it again. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query string as sent by the caller. */
  readonly path: string;
  /** Name of the client account; absent on public routes. */
  readonly account: string | undefined;
  readonly body: Buffer | string;
  /**
   * Lists the parts of the prompt that requests to the same service may share.
   *
   * @default none
   */
  readonly listParts?: () => readonly string[];
}

/**
 * Fingerprint of a request: method, host, path, client account and body. The
 * account keeps a caller from sending a request that counts as another caller's.
 *
 * Its parts are computed when they are read, because hashing a body of several
 * MB takes milliseconds and few requests need it.
 *
 * @example
 * new Fingerprint({method, host, path, account, body}).id; // 'Wc3kQ0aZ.q8…'
 */
export class Fingerprint {
  private cachedOutline: string | undefined;
  private cachedId: string | undefined;
  private cachedPartIds: readonly string[] | undefined;

  constructor(private readonly content: RequestContent) {}

  /** Hash of everything but the bytes of the body. */
  get outline(): string {
    this.cachedOutline ??= this.hashOutline();
    return this.cachedOutline;
  }

  /** Complete fingerprint, which begins with the outline. */
  get id(): string {
    this.cachedId ??= `${this.outline}.${hashBytes(this.content.body).slice(0, BODY_LENGTH)}`;
    return this.cachedId;
  }

  /** Name of the client account; absent on public routes. */
  get account(): string | undefined {
    return this.content.account;
  }

  /** Ids of the parts of the prompt, by which other requests may resemble it. */
  get partIds(): readonly string[] {
    this.cachedPartIds ??= (this.content.listParts?.() ?? []).map(
      part => `${PART_PREFIX}${part}`,
    );
    return this.cachedPartIds;
  }

  /** Returns whether `id` is the id of this content or of one of its parts. */
  isFeature(id: string): boolean {
    return isPartId(id) ? this.partIds.includes(id) : this.isId(id);
  }

  /** Returns whether `id` is the id of this content. */
  isId(id: string): boolean {
    return readOutline(id) === this.outline && id === this.id;
  }

  private hashOutline(): string {
    const {method, host, path, account, body} = this.content;
    const text = JSON.stringify([
      method,
      host.toLowerCase(),
      path,
      account ?? null,
      body.length,
    ]);
    return hashBytes(text).slice(0, OUTLINE_LENGTH);
  }
}

/**
 * Returns the outline of a fingerprint id.
 *
 * @example
 * readOutline(fingerprint.id) === fingerprint.outline; // true
 */
export function readOutline(id: string): string {
  return id.slice(0, OUTLINE_LENGTH);
}

/**
 * Returns whether an id names a part of prompts, and not a whole content.
 *
 * @example
 * isPartId('part:chat/5c1e07a2'); // true
 */
export function isPartId(id: string): boolean {
  return id.startsWith(PART_PREFIX);
}

function hashBytes(bytes: Buffer | string): string {
  return createHash('sha256').update(bytes).digest('base64url');
}
