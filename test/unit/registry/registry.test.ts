/** Merging announcements that arrive late, repeatedly and out of order. */

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
    softwareVersion: 'v1',
    ...changes,
  };
}

function mergeAll(announcements: readonly Announcement[]): EndpointRegistry {
  const registry = createEndpointRegistry({ event() {} });
  registry.declarePools(['engines', 'other']);
  for (const announcement of announcements) registry.merge(announcement);
  return registry;
}

function shuffle<Item>(items: readonly Item[], seed: number): Item[] {
  const generator = xoroshiro128plus(seed);
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const swapIndex = uniformInt(generator, 0, index);
    [shuffled[index], shuffled[swapIndex]] = [shuffled[swapIndex]!, shuffled[index]!];
  }
  return shuffled;
}

describe('the registry', () => {
  // An address that is no URL ended each gateway at its next request; a number that the feed cannot
  // encode kept a keeper from sending anything.
  it('refuses values that cannot be sent or used, and keeps what it holds', () => {
    const registry = mergeAll([createAnnouncement({})]);
    for (const change of [
      { address: '127.0.0.1:80800' },
      { address: '10.0.0.256:80' },
      { address: '10.0.0.01:80' },
      { address: '10.0.0.1:0' },
      { address: 'desk:80' },
      { slots: 2 ** 32 },
      { slots: 1.5 },
      { warmingForMs: 2 ** 32 },
      { warmingForMs: Number.POSITIVE_INFINITY },
      { sequence: 2 ** 53 },
      { bornAtMs: 2 ** 53 },
      { bornAtMs: 1_764_900_000_000_000 },
      { bornAtMs: -1 },
      { state: 'constructor' },
      { endpointId: 'Ж' },
      { endpointId: 'a b' },
      { endpointId: '' },
      { pool: '' },
      { pool: '\ud800' },
      { pool: 'x'.repeat(256) },
      { failureDomain: 'x'.repeat(256) },
      { softwareVersion: '\udc00' },
    ]) {
      const later = createAnnouncement({ bornAtMs: 200, sequence: 9, ...change });
      assert.equal(registry.merge(later).kind, 'refused', JSON.stringify(change));
    }
    assert.deepEqual(registry.list(), [createAnnouncement({})]);
    assert.equal(registry.isUsable('a'), true);
  });

  it('keeps a leaving incarnation unusable when an earlier announcement arrives late', () => {
    const registry = mergeAll([
      createAnnouncement({ sequence: 5, state: 'leaving' }),
      createAnnouncement({ sequence: 4 }),
      createAnnouncement({ sequence: 6 }),
    ]);
    assert.equal(registry.isUsable('a'), false);
  });

  it('replaces an incarnation by a newer one with the same id and ignores the older one', () => {
    const registry = mergeAll([
      createAnnouncement({ state: 'gone', sequence: 9 }),
      createAnnouncement({ bornAtMs: 200, sequence: 1 }),
      createAnnouncement({ sequence: 8 }),
    ]);
    assert.equal(registry.isUsable('a'), true);
    assert.equal(registry.tryGet('a')?.bornAtMs, 200);
  });

  it('treats only the most recently started endpoint at an address as usable', () => {
    const registry = mergeAll([
      createAnnouncement({ endpointId: 'b', bornAtMs: 200, pool: 'other' }),
      createAnnouncement({ sequence: 7 }),
    ]);
    assert.equal(registry.isUsable('a'), false);
    assert.equal(registry.isUsable('b'), true);
  });

  // One heartbeat with a service that no table names took a replica out of use for good.
  it('lets no endpoint of an undeclared pool take the address or the id of another', () => {
    const registry = mergeAll([
      createAnnouncement({}),
      createAnnouncement({ endpointId: 'b', bornAtMs: 200, pool: 'undeclared' }),
      createAnnouncement({ bornAtMs: 300, pool: 'undeclared', address: '10.0.0.9:80' }),
    ]);
    assert.equal(registry.isUsable('a'), true);
    assert.deepEqual(registry.tryGet('a'), createAnnouncement({}));
    assert.equal(registry.tryGet('b'), undefined);
    assert.deepEqual(registry.listDeclared(), [createAnnouncement({})]);
    assert.equal(registry.list().length, 3);
  });

  it('uses an endpoint that has announced itself before its pool is declared', () => {
    const registry = mergeAll([
      createAnnouncement({}),
      createAnnouncement({ endpointId: 'b', bornAtMs: 200, pool: 'later' }),
    ]);
    assert.equal(registry.declarePools(['engines', 'later']), true);
    assert.equal(registry.declarePools(['later']), false);
    assert.equal(registry.isUsable('b'), true);
    assert.equal(registry.isUsable('a'), false);
  });

  it('reaches the same state for announcements in any order, with duplicates', () => {
    const announcements = [
      createAnnouncement({ sequence: 1 }),
      createAnnouncement({ sequence: 2, state: 'leaving' }),
      createAnnouncement({ sequence: 3, state: 'gone' }),
      createAnnouncement({ bornAtMs: 300, sequence: 1, address: '10.0.0.2:80' }),
      createAnnouncement({ endpointId: 'b', bornAtMs: 250 }),
      createAnnouncement({ endpointId: 'b', bornAtMs: 250, sequence: 2, state: 'leaving' }),
      createAnnouncement({ endpointId: 'c', bornAtMs: 260, address: '10.0.0.2:80' }),
      createAnnouncement({ endpointId: 'd', bornAtMs: 250 }),
      createAnnouncement({ endpointId: 'c', bornAtMs: 260, pool: 'other', sequence: 2 }),
      createAnnouncement({ endpointId: 'c', bornAtMs: 400, pool: 'undeclared' }),
    ];
    const readState = (registry: EndpointRegistry): unknown =>
      ['a', 'b', 'c', 'd'].map((id) => [registry.tryGet(id), registry.isUsable(id)]);
    const expected = readState(mergeAll(announcements));
    for (let seed = 1; seed <= 300; seed += 1) {
      const received = shuffle([...announcements, ...announcements], seed);
      assert.deepEqual(readState(mergeAll(received)), expected, `seed ${seed}`);
    }
  });
});
