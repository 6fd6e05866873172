/** Which keeper sends a gateway the reports of the others. */

import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseReportSource } from '../../../src/feed/reportSource.js';

describe('the source of reports', () => {
  const stale = { activeAt: 1_000 };
  const fresh = { activeAt: 1_250 };
  const freshest = { activeAt: 1_290 };

  it('stays the same while it sends updates', () => {
    assert.equal(chooseReportSource([freshest, fresh], fresh, 1_300), fresh);
  });

  it('is replaced by the keeper that was active last once it is silent', () => {
    assert.equal(chooseReportSource([stale, fresh, freshest], stale, 1_301), freshest);
  });

  it('is replaced when its connection is lost', () => {
    assert.equal(chooseReportSource([fresh], freshest, 1_300), fresh);
    assert.equal(chooseReportSource([], freshest, 1_300), undefined);
  });
});
