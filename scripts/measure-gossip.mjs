// Prints the bytes of datagrams between gates by kind, in virtual time: what one
// gate sends and receives, and what all gates send to other zones, in kB/s.
//
//   npx tsc -b && node scripts/measure-gossip.mjs
import {startFakeClock} from '../packages/direct/dist/test/fake-clock.js';
import {GossipLoad} from '../packages/direct/dist/test/gossip-load.js';

const FLEETS = [
  {gates: 8, engines: 25, streamsPerS: 31},
  {gates: 23, engines: 69, streamsPerS: 90},
  {gates: 75, engines: 227, streamsPerS: 290},
];

function formatKb(bytes) {
  return (bytes / 1000).toFixed(1);
}

console.log('| gates | kind | kB/s of a gate | kB/s between zones |');
console.log('| --- | --- | --- | --- |');
for (const fleet of FLEETS) {
  const clock = startFakeClock(1);
  const bytes = await new GossipLoad(clock, fleet).measure();
  clock.stop();
  let perGate = 0;
  let betweenZones = 0;
  for (const [kind, sent] of bytes) {
    perGate += sent.perGate;
    betweenZones += sent.betweenZones;
    console.log(
      `| ${fleet.gates} | ${kind} | ${formatKb(sent.perGate)} | ${formatKb(sent.betweenZones)} |`,
    );
  }
  console.log(
    `| ${fleet.gates} | all | ${formatKb(perGate)} | ${formatKb(betweenZones)} |`,
  );
}
