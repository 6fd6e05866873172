/** Announcements that arrive late, twice and out of order. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Announcement } from '../../../src/generated/control.js';
import { createEndpointRegistry, type EndpointRegistry } from '../../../src/registry/registry.js';

function createAnnouncement(changes: Partial<Announcement>): Announcement {
  return {
    endpointId: 'a',
    bornAtMs: 100,
    sequence: 1,
    state: 'ready',
    pool: 'engines',
    address: '10.0.0.1:80',
    failureDomain: 'x',
    slots: 10,
    warmingForMs: 0,
    ...changes,
  };
}

function mergeAll(announcements: readonly Announcement[]): EndpointRegistry {
  const registry = createEndpointRegistry();
  for (const announcement of announcements) registry.merge(announcement);
  return registry;
}

function shuffle<Item>(items: readonly Item[], seed: number): Item[] {
  const generator = xoroshiro128plus(seed);
  const shuffled = [...items];
  for (let at = shuffled.length - 1; at > 0; at -= 1) {
    const other = uniformInt(generator, 0, at);
    [shuffled[at], shuffled[other]] = [shuffled[other]!, shuffled[at]!];
  }
  return shuffled;
}

describe('the registry', () => {
  it('keeps an incarnation out once it leaves, also when an earlier message comes late', () => {
    const registry = mergeAll([
      createAnnouncement({ sequence: 5, state: 'leaving' }),
      createAnnouncement({ sequence: 4 }),
      createAnnouncement({ sequence: 6 }),
    ]);
    assert.equal(registry.isUsable('a'), false);
  });

  it('takes a new incarnation under the same id in, and ignores the earlier one', () => {
    const registry = mergeAll([
      createAnnouncement({ state: 'gone', sequence: 9 }),
      createAnnouncement({ bornAtMs: 200, sequence: 1 }),
      createAnnouncement({ sequence: 8 }),
    ]);
    assert.equal(registry.isUsable('a'), true);
    assert.equal(registry.tryGet('a')?.bornAtMs, 200);
  });

  it('gives an address to the endpoint that was born last', () => {
    const registry = mergeAll([
      createAnnouncement({ endpointId: 'b', bornAtMs: 200, pool: 'other' }),
      createAnnouncement({ sequence: 7 }),
    ]);
    assert.equal(registry.isUsable('a'), false);
    assert.equal(registry.isUsable('b'), true);
  });

  it('ends in the same state for any order, with repetitions', () => {
    const announcements = [
      createAnnouncement({ sequence: 1 }),
      createAnnouncement({ sequence: 2, state: 'leaving' }),
      createAnnouncement({ sequence: 3, state: 'gone' }),
      createAnnouncement({ bornAtMs: 300, sequence: 1, address: '10.0.0.2:80' }),
      createAnnouncement({ endpointId: 'b', bornAtMs: 250 }),
      createAnnouncement({ endpointId: 'b', bornAtMs: 250, sequence: 2, state: 'leaving' }),
      createAnnouncement({ endpointId: 'c', bornAtMs: 260, address: '10.0.0.2:80' }),
    ];
    const describeState = (registry: EndpointRegistry): unknown =>
      ['a', 'b', 'c'].map((id) => [registry.tryGet(id), registry.isUsable(id)]);
    const expected = describeState(mergeAll(announcements));
    for (let seed = 1; seed <= 300; seed += 1) {
      const played = shuffle([...announcements, ...announcements], seed);
      assert.deepEqual(describeState(mergeAll(played)), expected, `seed ${seed}`);
    }
  });
});
