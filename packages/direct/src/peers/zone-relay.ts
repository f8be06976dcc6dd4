/**
 * Broadcasts datagrams to all gates with one copy for each remote availability
 * zone. A gate there relays it to the others; which one differs from placement
 * to placement, so that no gate has to live.
 */

/**
 * Time without a heartbeat above which a peer relays nothing, in ms; one
 * heartbeat interval and a margin.
 */
const RELAY_MAX_SILENCE_MS = 1300;

/** First byte of a datagram that its receiver relays within its zone. */
const RELAYED = '>';
const RELAYED_BYTE = RELAYED.charCodeAt(0);
const RELAYED_PREFIX = Buffer.from(RELAYED);

const NOBODY: ReadonlySet<string> = new Set();

/** A live peer, as the relay sees it. */
export interface RelayPeer {
  readonly host: string;
  /** Availability zone; undefined if it is not known. */
  readonly zone: string | undefined;
  /** Time since the last heartbeat of the peer, in ms. */
  readonly silentMs: number;
}

/** Dependencies of the relay of one gate. */
export interface ZoneRelayOptions {
  readonly zone: string;
  readonly listPeers: () => readonly RelayPeer[];
  readonly send: (host: string, bytes: Buffer) => void;
}

/**
 * Sends datagrams to all gates, and relays those of gates in other zones.
 *
 * @example
 * relay.broadcast(bytes, 7);
 */
export class ZoneRelay {
  constructor(private readonly options: ZoneRelayOptions) {}

  /**
   * Sends a datagram to all live peers.
   *
   * @param number - Datagrams with the same number take the same way, so that
   *   they arrive in order.
   * @param except - Hosts that need no datagram.
   */
  broadcast(
    bytes: Buffer,
    number: number,
    except: ReadonlySet<string> = NOBODY,
  ): void {
    const {zone, listPeers, send} = this.options;
    const relayed = Buffer.concat([RELAYED_PREFIX, bytes]);
    const receivers = listPeers().filter(({host}) => !except.has(host));
    for (const [peerZone, peers] of listByZone(receivers)) {
      const relay =
        peerZone === zone || peerZone === undefined
          ? undefined
          : pickRelay(peers, number);
      if (relay !== undefined) send(relay.host, relayed);
      else for (const {host} of peers) send(host, bytes);
    }
  }

  /**
   * Returns the datagram itself; if its sender asks for it, relays it to the
   * peers of this zone.
   */
  receive(bytes: Buffer): Buffer {
    if (bytes[0] !== RELAYED_BYTE) return bytes;
    const datagram = bytes.subarray(RELAYED_PREFIX.length);
    const {zone, listPeers, send} = this.options;
    for (const peer of listPeers())
      if (peer.zone === zone) send(peer.host, datagram);
    return datagram;
  }
}

function listByZone(
  peers: readonly RelayPeer[],
): ReadonlyMap<string | undefined, readonly RelayPeer[]> {
  const groups = new Map<string | undefined, RelayPeer[]>();
  for (const peer of peers) {
    const group = groups.get(peer.zone);
    if (group === undefined) groups.set(peer.zone, [peer]);
    else group.push(peer);
  }
  return groups;
}

/** Picks the relay of a zone; undefined if direct datagrams are as few. */
function pickRelay(
  peers: readonly RelayPeer[],
  number: number,
): RelayPeer | undefined {
  if (peers.length === 1) return undefined;
  const heard = peers.filter(({silentMs}) => silentMs <= RELAY_MAX_SILENCE_MS);
  return heard[number % heard.length];
}
