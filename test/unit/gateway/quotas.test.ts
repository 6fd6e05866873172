/** Team quotas across several gateways that learn of each other's use late or not at all. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createQuotas, type Quotas } from '../../../src/gateway/quotas.js';
import type { Team } from '../../../src/routing/types.js';
import { createRandom } from '../../fixtures/random.js';

const RATE = 340_000;
const SLACK = 140_000;
const WINDOW_MS = 8_000;
const STEP_MS = 10;
/** Interval between two reports of a gateway. */
const REPORT_MS = 100;
/** Time from a gateway to its keeper and on to the other gateways. */
const REPORT_LAG_MS = 150;

const team: Team = {
  name: 'buyers',
  keys: [],
  rank: 0,
  quota: { unit: 'token', ratePerSecond: RATE, burst: RATE, defaultUnits: 200 },
};

interface Scenario {
  gateways: number;
  /** Demand as a multiple of the quota. */
  demand: number;
  seconds: number;
  seed: number;
  /** Whether gateways receive each other's reports at `time`, in milliseconds. */
  isConnected(time: number): boolean;
  /** Whether the keeper that sends the reports is silent at `time`; others still send updates. */
  isReportSourceSilent?(time: number): boolean;
  /** Share of the requests that continue a stream; none by default. */
  continuedShare?: number;
  /** When the first gateway is replaced by a new process, in milliseconds. */
  restartAt?: number;
}

interface Outcome {
  /** Maximum number of units admitted in one window. */
  mostInWindow: number;
  admitted: number;
  /** Share of the requests that continue a stream which were admitted. */
  continuedAdmitted: number;
}

/** Simulates demand that is spread unevenly over gateways, with requests of very different sizes. */
function simulate({
  gateways: count,
  demand,
  seconds,
  seed,
  isConnected,
  isReportSourceSilent = () => false,
  continuedShare = 0,
  restartAt,
}: Scenario): Outcome {
  let time = 0;
  const random = createRandom(seed);
  const gateways = Array.from({ length: count }, createGateway);
  const steps: number[] = [];
  const reports: { at: number; deliver(): void }[] = [];
  const continued = { sent: 0, admitted: 0 };
  let unsentUnits = 0;
  while (time < seconds * 1_000) {
    let admitted = 0;
    unsentUnits += (demand * RATE * STEP_MS) / 1_000;
    while (unsentUnits > 0) {
      const units = Math.round(7_000 * Math.exp(2 * (random() + random() + random() - 1.5)));
      unsentUnits -= units;
      // The first gateway receives more than half of all requests.
      const chosen = random() < 0.5 ? 0 : Math.floor(random() * count);
      const isContinued = random() < continuedShare;
      if (isContinued) continued.sent += 1;
      if (gateways[chosen]?.consume(team, units, isContinued).kind !== 'admitted') continue;
      admitted += units;
      if (isContinued) continued.admitted += 1;
    }
    steps.push(admitted);
    if (time === restartAt) gateways[0] = createGateway();
    const areReportsSent = isConnected(time) && !isReportSourceSilent(time);
    if (time % REPORT_MS === 0 && areReportsSent) reports.push(...createReports(gateways, time));
    time += STEP_MS;
    while ((reports[0]?.at ?? Number.POSITIVE_INFINITY) <= time) reports.shift()?.deliver();
  }
  return {
    mostInWindow: getMostInWindow(steps),
    admitted: steps.reduce((sum, step) => sum + step, 0),
    continuedAdmitted: continued.admitted / continued.sent,
  };

  function createGateway(): Quotas {
    const quotas = createQuotas({
      now: () => time,
      slack: SLACK,
      isConnected: () => isConnected(time),
    });
    quotas.updateTeams([team]);
    return quotas;
  }
}

function createReports(gateways: Quotas[], time: number) {
  return gateways.map((quotas, index) => {
    const report = {
      gatewayId: `gateway-${index}`,
      incarnation: 'a',
      loads: [],
      uses: quotas.listUses(),
      waiting: 0,
      versionOutcomes: [],
    };
    const others = gateways.filter((other) => other !== quotas);
    return {
      at: time + REPORT_LAG_MS,
      deliver: () => others.forEach((other) => other.applyReport(report)),
    };
  });
}

function getMostInWindow(steps: readonly number[]): number {
  const length = WINDOW_MS / STEP_MS;
  let sum = 0;
  let most = 0;
  for (const [index, step] of steps.entries()) {
    sum += step - (index >= length ? (steps[index - length] ?? 0) : 0);
    most = Math.max(most, sum);
  }
  return most;
}

const allowed = (RATE * (WINDOW_MS / 1_000) + RATE) * 1.1 + SLACK;

describe('quotas across several gateways', () => {
  for (const gateways of [1, 4, 11]) {
    for (const demand of [2, 6]) {
      it(`hold for ${gateways} gateways at ${demand} times the quota, and are used to at least 95 %`, () => {
        for (let seed = 1; seed <= 8; seed += 1) {
          const outcome = simulate({
            gateways,
            demand,
            seconds: 30,
            seed,
            isConnected: () => true,
          });
          assert.ok(outcome.mostInWindow <= allowed, `seed ${seed}: ${outcome.mostInWindow}`);
          assert.ok(outcome.admitted >= 0.95 * RATE * 30, `seed ${seed}: ${outcome.admitted}`);
        }
      });
    }
  }

  it('hold while gateways receive no reports of each other', () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const isConnected = (time: number): boolean => time < 8_000 || time > 16_000;
      const outcome = simulate({ gateways: 4, demand: 6, seconds: 30, seed, isConnected });
      assert.ok(outcome.mostInWindow <= allowed, `seed ${seed}: ${outcome.mostInWindow}`);
    }
  });

  it('hold while the keeper that sends the reports to all of them falls silent', () => {
    for (const gateways of [4, 11]) {
      for (let seed = 1; seed <= 8; seed += 1) {
        const outcome = simulate({
          gateways,
          demand: 6,
          seconds: 30,
          seed,
          isConnected: () => true,
          isReportSourceSilent: (time) => time > 14_000 && time < 15_100,
        });
        assert.ok(outcome.mostInWindow <= allowed, `seed ${seed}: ${outcome.mostInWindow}`);
      }
    }
  });

  it('hold when a gateway is restarted', () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const isConnected = (): boolean => true;
      const scenario = { gateways: 4, demand: 6, seconds: 30, seed, isConnected, restartAt: 9_000 };
      const { mostInWindow } = simulate(scenario);
      assert.ok(mostInWindow <= allowed, `seed ${seed}: ${mostInWindow}`);
    }
  });

  for (const gateways of [1, 4, 11, 27]) {
    it(`hold for ${gateways} gateways when all requests continue streams and a gateway restarts`, () => {
      for (let seed = 1; seed <= 8; seed += 1) {
        const isConnected = (): boolean => true;
        const scenario = { gateways, demand: 6, seconds: 30, seed, isConnected, restartAt: 9_000 };
        const { mostInWindow } = simulate({ ...scenario, continuedShare: 1 });
        assert.ok(mostInWindow <= allowed, `seed ${seed}: ${mostInWindow}`);
      }
    });

    it(`admit nearly all that continue streams at ${gateways} gateways, at twice the quota`, () => {
      for (let seed = 1; seed <= 4; seed += 1) {
        const isConnected = (): boolean => true;
        const scenario = { gateways, demand: 2, seconds: 30, seed, isConnected };
        const { continuedAdmitted } = simulate({ ...scenario, continuedShare: 0.1 });
        assert.ok(continuedAdmitted >= 0.9, `seed ${seed}: ${continuedAdmitted}`);
      }
    });
  }

  it('admit nearly all demand below the quota', () => {
    const outcome = simulate({
      gateways: 4,
      demand: 0.8,
      seconds: 30,
      seed: 1,
      isConnected: () => true,
    });
    assert.ok(outcome.admitted >= 0.99 * 0.8 * RATE * 30, `${outcome.admitted}`);
  });
});
