/** Order of an admission queue by urgency, then by the fair shares of accounts. */
import {UrgencyOrder} from '../admission/admission-order.js';
import {ServedShares} from '../admission/served-shares.js';
import {NO_ACCOUNT} from './account-usage.js';
import type {AdmissionRank} from '../admission/admission-order.js';
import type {QueueEntry, QueueOutcome} from '../admission/queue-entry.js';
import type {AccountUsage} from './account-usage.js';

/**
 * Number of equal shares up to which an account is owed slots because too few of its
 * streams are placed. It bounds what an account gains that repeats refused requests.
 */
const MAX_OWED_SHARES = 4;

/**
 * Among equally urgent streams, those of accounts above their fair share go last,
 * unless far fewer of an account are placed than of all: an account that needs
 * several shares at all times must not starve. Streams are ranked only while some
 * wait, which is when room is short.
 */
export class SharedRoomOrder extends UrgencyOrder {
  private readonly byAccount = new ServedShares();

  constructor(private readonly usage: AccountUsage) {
    super();
  }

  override rank(entry: QueueEntry): AdmissionRank {
    const {usage} = this;
    usage.markShort();
    const rank = usage.rank(entry.account);
    const isOwed =
      rank > 0 &&
      usage.measureShares(entry.account) < MAX_OWED_SHARES &&
      this.byAccount.isOwed(readName(entry));
    return {...super.rank(entry), account: isOwed ? 0 : rank};
  }

  override record(entry: QueueEntry, outcome: QueueOutcome, now: number): void {
    super.record(entry, outcome, now);
    if (outcome !== 'left' && this.usage.isEnabled)
      this.byAccount.record(readName(entry), outcome, now);
  }
}

function readName({account = NO_ACCOUNT}: QueueEntry): string {
  return account;
}
