/**
 * Raft elections: a pre-vote, which changes no term, followed by the vote. A leader that transfers
 * its lead names a successor, which asks for votes at once.
 */

import type {
  LeadTransfer,
  PeerMessage,
  Replica,
  VoteRequest,
  VoteResponse,
} from '../generated/keeper.js';
import { hasQuorum, type LostStores } from './quorum.js';
import { ELECTION_TIMEOUT_MS, type RaftCore } from './raftCore.js';

/** Requests votes and handles vote requests. */
export interface Election {
  start(): void;
  handleVoteRequest(from: Replica, term: number, request: VoteRequest): void;
  /** Tells a candidate that the store of this keeper that it asks for its vote is lost. */
  handleRequestToLostStore(from: Replica, lostStoreId: string, request: VoteRequest): void;
  handleVoteResponse(from: Replica, term: number, response: VoteResponse): void;
  handleLeadTransfer(from: Replica, term: number, transfer: LeadTransfer): void;
}

/** Creates the election module. `onElected` makes this replica the leader. */
export function createElection(core: RaftCore, onElected: () => void): Election {
  const votes = new Set<string>();

  return {
    start,
    handleVoteRequest,
    handleRequestToLostStore,
    handleVoteResponse,
    handleLeadTransfer,
  };

  function start(): void {
    beginCampaign('preCandidate');
    core.leader = undefined;
    if (isElected(core.lostStores)) startVote(false);
    else requestVotes(core.term + 1, { preVote: true, transferred: false });
  }

  function startVote(transferred: boolean): void {
    beginCampaign('candidate');
    core.term += 1;
    core.votedFor = core.self.storeId;
    core.hardStateChanged = true;
    core.discountedStores = new Set(core.lostStores);
    if (isElected(core.discountedStores)) onElected();
    else requestVotes(core.term, { preVote: false, transferred });
  }

  function beginCampaign(role: 'preCandidate' | 'candidate'): void {
    core.role = role;
    votes.clear();
    votes.add(core.self.storeId);
    if (role === 'preCandidate') core.schedulePreVoteRetry();
    else core.resetElectionTimer();
  }

  function requestVotes(term: number, kind: Pick<VoteRequest, 'preVote' | 'transferred'>): void {
    const { lastIndex, lastTerm } = core.log;
    const body: PeerMessage['body'] = {
      $case: 'voteRequest',
      value: { ...kind, lastIndex, lastTerm },
    };
    const voters = core.getDecidingMemberships().flatMap((membership) => membership.voters);
    const recipients = new Map(voters.map((voter) => [voter.storeId, voter]));
    recipients.delete(core.self.storeId);
    for (const voter of recipients.values()) core.send(voter, term, body);
  }

  function handleVoteRequest(from: Replica, term: number, request: VoteRequest): void {
    // The leader that was heard has stopped leading, and its lease with it, before it named the
    // candidate; a later leader has a majority in the candidate's term or a later one.
    if (!request.transferred && hasOtherActiveLeader(from)) {
      respond(from, core.term, request.preVote, false);
      return;
    }
    if (!request.preVote && term > core.term) core.adoptTerm(term);
    if (!request.preVote) noteRival(term);
    const isNewer = request.preVote ? term > core.term : term === core.term;
    const canVote = request.preVote || core.votedFor === '' || core.votedFor === from.storeId;
    const granted = isNewer && canVote && isUpToDate(request);
    if (granted && !request.preVote) {
      core.votedFor = from.storeId;
      core.hardStateChanged = true;
      core.resetElectionTimer();
    }
    respond(from, granted ? term : core.term, request.preVote, granted);
  }

  /** Votes that are split are requested again soon, rather than after another election timeout. */
  function noteRival(term: number): void {
    if (core.role === 'candidate' && term === core.term) core.scheduleVoteRetry();
  }

  /**
   * Whether this replica leads or was contacted by a leader within the election timeout. It then
   * denies its vote to any replica but that leader; the leader lease relies on this.
   */
  function hasOtherActiveLeader(from: Replica): boolean {
    const isRecent = core.now - core.leaderContactAt < ELECTION_TIMEOUT_MS;
    return (core.role === 'leader' || isRecent) && core.leader?.storeId !== from.storeId;
  }

  function isUpToDate(request: VoteRequest): boolean {
    const { lastIndex, lastTerm } = core.log;
    if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
    return request.lastIndex >= lastIndex;
  }

  function respond(to: Replica, term: number, preVote: boolean, granted: boolean): void {
    const value = { preVote, granted, lostStoreId: '' };
    core.send(to, term, { $case: 'voteResponse', value });
  }

  function handleRequestToLostStore(
    from: Replica,
    lostStoreId: string,
    { preVote }: VoteRequest,
  ): void {
    const value = { preVote, granted: false, lostStoreId };
    core.send(from, core.term, { $case: 'voteResponse', value });
  }

  function handleVoteResponse(from: Replica, term: number, response: VoteResponse): void {
    if (response.lostStoreId !== '') {
      recordLostStore(from, response.lostStoreId);
      return;
    }
    if (!response.granted) {
      if (term > core.term) core.adoptTerm(term);
      else if (!response.preVote) noteRival(term);
      return;
    }
    const expectedRole = response.preVote ? 'preCandidate' : 'candidate';
    const expectedTerm = response.preVote ? core.term + 1 : core.term;
    if (core.role !== expectedRole || term !== expectedTerm) return;
    votes.add(from.storeId);
    if (!response.preVote && isElected(core.discountedStores)) onElected();
    else tryEndPreVote();
  }

  function tryEndPreVote(): void {
    if (core.role === 'preCandidate' && isElected(core.lostStores)) startVote(false);
  }

  /** Only the keeper that has begun another store in place of a voter's can say so. */
  function recordLostStore(from: Replica, lostStoreId: string): void {
    const voters = core.getDecidingMemberships().flatMap((membership) => membership.voters);
    const lost = voters.find(({ storeId }) => storeId === lostStoreId);
    const isSameKeeper = lost?.id === from.id && lost.address === from.address;
    if (!isSameKeeper || from.storeId === lostStoreId) return;
    core.lostStores.add(lostStoreId);
    tryEndPreVote();
  }

  function handleLeadTransfer(from: Replica, term: number, transfer: LeadTransfer): void {
    const isFromLeader = term === core.term && core.leader?.storeId === from.storeId;
    if (!isFromLeader || core.role !== 'follower') return;
    if (core.log.lastIndex < transfer.lastIndex || !core.isVoter(core.self.storeId)) return;
    core.leader = undefined;
    startVote(true);
  }

  function isElected(lostStores: LostStores): boolean {
    return hasQuorum(core.getDecidingMemberships(), lostStores, (storeId) => votes.has(storeId));
  }
}
