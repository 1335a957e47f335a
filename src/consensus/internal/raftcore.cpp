#include "consensus/raftcore.h"

#include <algorithm>
#include <utility>

#include "global/transfertime.h"
#include "global/variantcodec.h"

namespace papayarack::consensus {
namespace {

/// Number of members that differ between two lists, in id or voting right.
std::size_t CountDifferences(const MemberList& one, const MemberList& other) {
  std::size_t differences = 0;
  for (const Member& member : one.members) {
    const Member* counterpart = other.Find(member.id);
    differences +=
        (counterpart == nullptr || counterpart->voter != member.voter) ? 1 : 0;
  }
  for (const Member& member : other.members) {
    differences += one.Find(member.id) == nullptr ? 1 : 0;
  }
  return differences;
}

std::size_t PayloadBytes(std::span<const Entry> entries) {
  std::size_t bytes = 0;
  for (const Entry& entry : entries) {
    bytes += entry.payload.size();
  }
  return bytes;
}

}  // namespace

RaftCore::RaftCore(const RaftOptions& options, const HardState& hard_state,
                   const SnapshotMeta& snapshot, std::vector<Entry> entries,
                   Time now)
    : options(options),
      hard(hard_state),
      raft_log(snapshot),
      commit_index(snapshot.index),
      applied_index(snapshot.index),
      now(now),
      last_leader_contact(now - options.election_timeout),
      random(options.seed) {
  for (Entry& entry : entries) {
    this->raft_log.Append(std::move(entry));
  }
  this->persisted_index = this->raft_log.LastIndex();
  this->RefreshMembers();
  this->ResetElectionTimer(this->options.first_election_timeout);
}

void RaftCore::RefreshMembers() {
  this->member_list = this->raft_log.LatestMembers();
}

void RaftCore::ResetElectionTimer() {
  this->ResetElectionTimer(this->options.election_timeout);
}

void RaftCore::ResetElectionTimer(Duration least) {
  std::uniform_int_distribution<std::int64_t> extra(0, least.count());
  this->election_deadline = this->now + least + Duration(extra(this->random));
}

bool RaftCore::LeaderReady() const {
  return this->current_role == RaftRole::kLeader &&
         this->commit_index >= this->term_start;
}

std::optional<Time> RaftCore::QuorumContact() const {
  return this->LeaderReady() ? this->quorum_contact : std::nullopt;
}

Index RaftCore::MatchOf(MemberId member) const {
  const auto found = this->progress.find(member);
  return found != this->progress.end() ? found->second.match : 0;
}

std::optional<Time> RaftCore::LastHeard(MemberId member) const {
  const auto found = this->progress.find(member);
  if (this->current_role != RaftRole::kLeader ||
      found == this->progress.end()) {
    return std::nullopt;
  }
  return found->second.last_heard;
}

bool RaftCore::HasQuorum(const std::set<MemberId>& agreeing) const {
  const std::vector<MemberId> voters = this->member_list.Voters();
  const auto agreed = std::ranges::count_if(
      voters, [&agreeing](MemberId id) { return agreeing.count(id) > 0; });
  return !voters.empty() &&
         static_cast<std::size_t>(agreed) > voters.size() / 2;
}

void RaftCore::Send(MemberId to, MessageBody body, bool after_sync,
                    std::optional<Term> term) {
  RaftMessage message{this->options.group, this->options.self, to,
                      term.value_or(this->hard.term), std::move(body)};
  auto& queue = after_sync ? this->ready.after_sync : this->ready.before_sync;
  queue.push_back(std::move(message));
}

void RaftCore::BecomeFollower(Term term, MemberId leader) {
  if (term > this->hard.term) {
    this->hard = {term, 0};
    this->ready.hard_state = this->hard;
  }
  if (this->current_role == RaftRole::kLeader) {
    this->FailReads();
  }
  this->current_role = RaftRole::kFollower;
  this->leader_id = leader;
  this->transfer_to = 0;
  this->ResetElectionTimer();
}

// --- timeouts

void RaftCore::Tick(Time time) {
  this->now = time;
  if (this->current_role == RaftRole::kLeader) {
    this->CheckQuorum();
  }
  if (this->current_role == RaftRole::kLeader) {
    if (this->transfer_to != 0 && this->now >= this->transfer_until) {
      this->transfer_to = 0;
    }
    if (this->now >= this->heartbeat_due) {
      this->BroadcastAppend(true);
    }
    return;
  }
  if (this->now >= this->election_deadline &&
      this->member_list.IsVoter(this->options.self)) {
    this->StartElection(true, false);
  }
}

/// Steps down if no majority has answered within an election timeout. Otherwise
/// a leader that is cut off from the others would continue to answer.
void RaftCore::CheckQuorum() {
  std::set<MemberId> heard = {this->options.self};
  for (const auto& [id, peer] : this->progress) {
    if (this->now - peer.last_heard < this->options.election_timeout) {
      heard.insert(id);
    }
  }
  if (!this->HasQuorum(heard)) {
    this->BecomeFollower(this->hard.term, 0);
  }
}

// --- elections

void RaftCore::StartElection(bool pre_vote, bool transfer) {
  this->leader_id = 0;
  this->votes.clear();
  this->votes[this->options.self] = true;
  this->current_role =
      pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  if (!pre_vote) {
    this->hard = {this->hard.term + 1, this->options.self};
    this->ready.hard_state = this->hard;
  }
  this->ResetElectionTimer();
  const Term request_term = pre_vote ? this->hard.term + 1 : this->hard.term;
  for (const MemberId voter : this->member_list.Voters()) {
    if (voter != this->options.self) {
      this->Send(voter,
                 VoteRequest{pre_vote, transfer, this->raft_log.LastIndex(),
                             this->raft_log.LastTerm()},
                 !pre_vote, request_term);
    }
  }
  this->CountVotes();
}

void RaftCore::CountVotes() {
  std::set<MemberId> granted;
  std::set<MemberId> refused;
  for (const auto& [id, yes] : this->votes) {
    (yes ? granted : refused).insert(id);
  }
  if (this->HasQuorum(granted)) {
    if (this->current_role == RaftRole::kPreCandidate) {
      this->StartElection(false, false);
    } else {
      this->BecomeLeader();
    }
  } else if (this->HasQuorum(refused)) {
    this->BecomeFollower(this->hard.term, 0);
  }
}

bool RaftCore::HeardFromLeaderRecently() const {
  const bool leads = this->current_role == RaftRole::kLeader;
  return leads ||
         (this->leader_id != 0 && this->now - this->last_leader_contact <
                                      this->options.election_timeout);
}

void RaftCore::OnVoteRequest(const RaftMessage& message,
                             const VoteRequest& request) {
  const bool log_current =
      std::pair(request.last_term, request.last_index) >=
      std::pair(this->raft_log.LastTerm(), this->raft_log.LastIndex());
  if (request.pre_vote) {
    const bool granted = message.term > this->hard.term && log_current &&
                         !this->HeardFromLeaderRecently();
    this->Send(message.from, VoteResponse{true, granted}, false,
               granted ? message.term : this->hard.term);
    return;
  }
  const bool free_vote =
      this->hard.vote == 0 || this->hard.vote == message.from;
  const bool granted = message.term == this->hard.term && free_vote &&
                       log_current && this->current_role == RaftRole::kFollower;
  if (granted) {
    if (this->hard.vote != message.from) {
      this->hard.vote = message.from;
      this->ready.hard_state = this->hard;
    }
    this->ResetElectionTimer();
  }
  // The vote is sent only after it is synced: a voter that lost it in a crash
  // could vote twice in one term.
  this->Send(message.from, VoteResponse{false, granted}, true);
}

void RaftCore::OnVoteResponse(const RaftMessage& message,
                              const VoteResponse& response) {
  const RaftRole wanted =
      response.pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  if (this->current_role != wanted) {
    return;
  }
  if (response.pre_vote && response.granted &&
      message.term != this->hard.term + 1) {
    return;
  }
  this->votes[message.from] = response.granted;
  this->CountVotes();
}

void RaftCore::BecomeLeader() {
  this->current_role = RaftRole::kLeader;
  this->leader_id = this->options.self;
  this->progress.clear();
  this->reads.clear();
  this->open_rounds.clear();
  this->quorum_contact.reset();
  for (const Member& member : this->member_list.members) {
    if (member.id != this->options.self) {
      Progress fresh;
      fresh.next = this->raft_log.LastIndex() + 1;
      fresh.last_heard = this->now;
      // Otherwise every follower would count as silent since the epoch, and
      // each election would send the log from its start, up to 1 MB, to each of
      // them.
      fresh.last_progress = this->now;
      this->progress[member.id] = fresh;
    }
  }
  this->AppendEntry(EntryKind::kNoop, {});
  this->term_start = this->raft_log.LastIndex();
  this->BroadcastAppend(true);
}

// --- messages

bool RaftCore::CheckTerm(const RaftMessage& message) {
  const auto* vote = std::get_if<VoteRequest>(&message.body);
  const auto* answer = std::get_if<VoteResponse>(&message.body);
  if (message.term < this->hard.term) {
    // The refusal tells a deposed leader, or a member that missed terms, the
    // current term. A leader of an earlier term must get a refusal of append
    // requests and of snapshot offers, or this member would never catch up.
    if (std::holds_alternative<AppendRequest>(message.body) ||
        std::holds_alternative<SnapshotOffer>(message.body)) {
      this->Send(message.from,
                 AppendResponse{false, this->raft_log.LastIndex(), 0}, true);
    } else if (vote != nullptr) {
      this->Send(message.from, VoteResponse{vote->pre_vote, false}, true);
    }
    return false;
  }
  if (message.term == this->hard.term) {
    return true;
  }
  if (vote != nullptr) {
    if (vote->pre_vote) {
      return true;
    }
    // A member that was cut off must not depose a leader that the others can
    // reach.
    if (!vote->transfer && this->HeardFromLeaderRecently()) {
      return false;
    }
  }
  if (answer != nullptr && answer->pre_vote && answer->granted) {
    return true;
  }
  const bool from_leader =
      std::holds_alternative<AppendRequest>(message.body) ||
      std::holds_alternative<SnapshotOffer>(message.body);
  this->BecomeFollower(message.term, from_leader ? message.from : 0);
  return true;
}

void RaftCore::Step(const RaftMessage& message, Time time) {
  this->now = std::max(this->now, time);
  if (message.to != this->options.self ||
      message.group != this->options.group || !this->CheckTerm(message)) {
    return;
  }
  std::visit(
      Overloaded{
          [&](const VoteRequest& body) { this->OnVoteRequest(message, body); },
          [&](const VoteResponse& body) {
            this->OnVoteResponse(message, body);
          },
          [&](const AppendRequest& body) {
            this->OnAppendRequest(message, body);
          },
          [&](const AppendResponse& body) {
            this->OnAppendResponse(message, body);
          },
          [&](const SnapshotOffer& body) {
            this->OnSnapshotOffer(message, body);
          },
          [&](const TimeoutNow&) {
            if (this->member_list.IsVoter(this->options.self)) {
              this->StartElection(false, true);
            }
          },
      },
      message.body);
}

// --- follower

void RaftCore::Truncate(Index from) {
  if (from <= this->commit_index) {
    throw ResultError(ResultCode::kInternal,
                      "a leader asked to take back committed entries");
  }
  this->raft_log.TruncateFrom(from);
  this->persisted_index = std::min(this->persisted_index, from - 1);
  auto& waiting = this->ready.entries;
  std::erase_if(waiting,
                [from](const Entry& entry) { return entry.index >= from; });
  this->ready.truncate_from =
      std::min(this->ready.truncate_from.value_or(from), from);
  this->truncated_in_batch = this->batch_number;
  this->RefreshMembers();
}

bool RaftCore::AcceptEntries(const AppendRequest& request) {
  if (request.prev_index > this->raft_log.LastIndex()) {
    return false;
  }
  const bool before_snapshot =
      request.prev_index < this->raft_log.snapshot().index;
  if (!before_snapshot &&
      this->raft_log.TermAt(request.prev_index) != request.prev_term) {
    return false;
  }
  for (const Entry& entry : request.entries) {
    if (entry.index < this->raft_log.FirstIndex()) {
      continue;
    }
    const std::optional<Term> local_term = this->raft_log.TermAt(entry.index);
    if (local_term == entry.term) {
      continue;
    }
    if (local_term.has_value()) {
      this->Truncate(entry.index);
    }
    this->raft_log.Append(entry);
    this->ready.entries.push_back(entry);
    if (entry.Kind() == EntryKind::kMembers) {
      this->RefreshMembers();
    }
  }
  return true;
}

void RaftCore::OnAppendRequest(const RaftMessage& message,
                               const AppendRequest& request) {
  if (this->current_role != RaftRole::kFollower ||
      this->leader_id != message.from) {
    this->BecomeFollower(message.term, message.from);
  }
  this->last_leader_contact = this->now;
  this->ResetElectionTimer();
  if (!this->AcceptEntries(request)) {
    // Committed entries are the same on all members; any entry after them may
    // differ, so the leader retries from there.
    const bool gap = request.prev_index > this->raft_log.LastIndex();
    const Index retry_after =
        gap ? this->raft_log.LastIndex() : this->commit_index;
    this->Send(message.from,
               AppendResponse{false, retry_after, request.read_round}, true);
    return;
  }
  const Index matched = std::max(request.prev_index + request.entries.size(),
                                 this->raft_log.snapshot().index);
  this->commit_index =
      std::max(this->commit_index, std::min(request.commit, matched));
  this->Send(message.from, AppendResponse{true, matched, request.read_round},
             true);
}

void RaftCore::OnSnapshotOffer(const RaftMessage& message,
                               const SnapshotOffer& offer) {
  if (this->current_role != RaftRole::kFollower ||
      this->leader_id != message.from) {
    this->BecomeFollower(message.term, message.from);
  }
  this->last_leader_contact = this->now;
  this->ResetElectionTimer();
  if (!this->WantsSnapshot(offer.meta)) {
    this->commit_index = std::max(this->commit_index, offer.meta.index);
    this->Send(message.from, AppendResponse{true, this->commit_index, 0}, true);
    return;
  }
  this->ready.fetch_snapshot = offer;
  this->ready.fetch_from = message.from;
}

/// A snapshot that the log already covers is declined. A member that has just
/// restarted does not know the commit index; installing such a snapshot would
/// drop the entries after it, some of which may be committed with the help of
/// this member.
bool RaftCore::WantsSnapshot(const SnapshotMeta& meta) const {
  return meta.index > this->commit_index &&
         this->raft_log.TermAt(meta.index) != meta.term;
}

void RaftCore::SnapshotInstalled(const SnapshotMeta& meta) {
  this->raft_log.Reset(meta);
  this->ready.entries.clear();
  this->ready.truncate_from.reset();
  this->ready.committed.clear();
  this->commit_index = meta.index;
  this->persisted_index = meta.index;
  this->applied_index = meta.index;
  this->RefreshMembers();
  if (this->leader_id != 0 && this->leader_id != this->options.self) {
    this->Send(this->leader_id, AppendResponse{true, meta.index, 0}, true);
  }
}

// --- leader

void RaftCore::AppendEntry(EntryKind kind, std::string payload) {
  Entry entry{this->hard.term, this->raft_log.LastIndex() + 1,
              static_cast<std::uint8_t>(kind), std::move(payload)};
  this->raft_log.Append(entry);
  this->ready.entries.push_back(std::move(entry));
}

ProposalPosition RaftCore::Propose(std::string payload) {
  if (this->current_role != RaftRole::kLeader || this->transfer_to != 0) {
    throw ResultError(ResultCode::kNotLeader,
                      "this member does not lead the group");
  }
  if (this->raft_log.Bytes() > this->options.max_uncommitted_bytes) {
    throw ResultError(ResultCode::kOverloaded,
                      "too many bytes wait to be committed");
  }
  this->AppendEntry(EntryKind::kCommand, std::move(payload));
  this->BroadcastAppend(false);
  return {this->raft_log.LastIndex(), this->hard.term};
}

ProposalPosition RaftCore::ProposeMembers(const MemberList& members) {
  if (CountDifferences(this->member_list, members) != 1) {
    throw ResultError(ResultCode::kConflict, "change one member at a time");
  }
  return this->AppendMembers(members);
}

ProposalPosition RaftCore::ProposeReplacement(MemberId lost,
                                              MemberId replacement) {
  if (lost == this->options.self || this->member_list.Find(lost) == nullptr ||
      this->member_list.Find(replacement) == nullptr) {
    throw ResultError(ResultCode::kConflict,
                      "a replacement needs a lost member and a learner");
  }
  MemberList members = this->member_list;
  std::erase_if(members.members,
                [lost](const Member& member) { return member.id == lost; });
  for (Member& member : members.members) {
    member.voter = member.voter || member.id == replacement;
  }
  return this->AppendMembers(members);
}

void RaftCore::CheckPromotions(const MemberList& members) const {
  for (const Member& member : members.members) {
    // A learner is promoted only once it has synced all committed entries.
    // Otherwise a majority could exist that lacks acknowledged entries.
    const bool promoted = member.voter && !this->member_list.IsVoter(member.id);
    if (promoted && (this->member_list.Find(member.id) == nullptr ||
                     this->MatchOf(member.id) < this->commit_index)) {
      throw ResultError(ResultCode::kConflict, "the learner has not caught up");
    }
  }
  if (members.Voters().empty()) {
    throw ResultError(ResultCode::kConflict,
                      "the last voter cannot be removed");
  }
}

ProposalPosition RaftCore::AppendMembers(const MemberList& members) {
  if (!this->LeaderReady() || this->transfer_to != 0) {
    throw ResultError(ResultCode::kNotLeader,
                      "this member does not lead the group");
  }
  if (this->raft_log.LatestMembersIndex() > this->commit_index) {
    throw ResultError(ResultCode::kConflict,
                      "another membership change is under way");
  }
  this->CheckPromotions(members);
  this->AppendEntry(EntryKind::kMembers, EncodeMessage(members));
  this->RefreshMembers();
  for (const Member& member : members.members) {
    if (member.id != this->options.self &&
        this->progress.count(member.id) == 0) {
      Progress fresh;
      fresh.next = this->raft_log.LastIndex();
      fresh.last_heard = this->now;
      fresh.last_progress = this->now;
      this->progress[member.id] = fresh;
    }
  }
  this->BroadcastAppend(false);
  return {this->raft_log.LastIndex(), this->hard.term};
}

void RaftCore::BroadcastAppend(bool heartbeat) {
  if (heartbeat) {
    this->heartbeat_due = this->now + this->options.heartbeat_interval;
    this->open_rounds.push_back({++this->read_round, this->now});
    this->UpdateQuorumContact();  // Where no other member votes.
  }
  std::vector<MemberId> targets;
  for (const auto& [id, peer] : this->progress) {
    targets.push_back(id);
  }
  for (const MemberId id : targets) {
    this->SendAppend(id, heartbeat);
  }
}

void RaftCore::SendSnapshotOffer(MemberId to, Progress& peer) {
  peer.snapshot_offered = this->raft_log.snapshot().index;
  this->Send(to, SnapshotOffer{this->raft_log.snapshot()}, false);
}

/// Responses to heartbeats do not count as acknowledgements, because they
/// arrive even if every append was lost. The first wait grows with the bytes in
/// flight, and each further one doubles: otherwise a large entry that takes
/// longer than the wait to arrive would be sent repeatedly, which would fill
/// the leader's link and delay it further.
void RaftCore::ResendOnTimeout(Progress& peer) {
  const bool outstanding = peer.match + 1 < peer.next;
  const Duration first_wait =
      2 * this->options.heartbeat_interval + TransferTime(peer.inflight_bytes);
  const Duration wait = std::clamp<Duration>(first_wait, peer.resend_delay,
                                             this->options.max_resend_delay);
  if (!outstanding || this->now - peer.last_progress < wait) {
    return;
  }
  peer.next = peer.match + 1;
  peer.ClearInflight();
  peer.probing = true;
  ++this->resend_count;
  peer.resend_delay = std::min(2 * wait, this->options.max_resend_delay);
}

void RaftCore::Progress::RecordSent(const InflightAppend& append) {
  this->inflight.push_back(append);
  this->inflight_bytes += append.bytes;
}

void RaftCore::Progress::RemoveAcknowledged() {
  while (!this->inflight.empty() &&
         this->inflight.front().last <= this->match) {
    this->inflight_bytes -= this->inflight.front().bytes;
    this->inflight.pop_front();
  }
}

void RaftCore::Progress::ClearInflight() {
  this->inflight.clear();
  this->inflight_bytes = 0;
}

/// Limits the bytes in flight as well as the number of appends. With large
/// entries and late acknowledgements, 16 appends of up to 1 MB each would fill
/// a follower's link for seconds, and with four followers the leader would hold
/// 64 MB.
std::optional<std::size_t> RaftCore::BytesToSend(const Progress& peer) const {
  if (peer.inflight.empty()) {
    return this->options.max_append_bytes;
  }
  if (peer.probing ||
      peer.inflight.size() >= this->options.max_inflight_appends ||
      peer.inflight_bytes >= this->options.max_inflight_bytes) {
    return std::nullopt;
  }
  const std::size_t left =
      this->options.max_inflight_bytes - peer.inflight_bytes;
  // An append carries at least one entry, whatever its size, so the next entry
  // must fit.
  if (this->raft_log.PayloadBytesAt(peer.next) > left) {
    return std::nullopt;
  }
  return std::min(this->options.max_append_bytes, left);
}

void RaftCore::SendAppend(MemberId to, bool heartbeat) {
  Progress& peer = this->progress.at(to);
  if (heartbeat) {
    this->ResendOnTimeout(peer);
  }
  if (peer.next < this->raft_log.FirstIndex()) {
    if (heartbeat || peer.snapshot_offered != this->raft_log.snapshot().index) {
      this->SendSnapshotOffer(to, peer);
    }
    return;
  }
  bool sent_any = false;
  while (peer.next <= this->raft_log.LastIndex()) {
    const std::optional<std::size_t> bytes = this->BytesToSend(peer);
    if (!bytes.has_value()) {
      break;
    }
    AppendRequest request;
    request.prev_index = peer.next - 1;
    request.prev_term = *this->raft_log.TermAt(request.prev_index);
    peer.sent_after = request.prev_index;
    request.commit = this->commit_index;
    request.read_round = this->read_round;
    request.entries =
        this->raft_log.Slice(peer.next, this->raft_log.LastIndex(), *bytes);
    peer.last_progress =
        peer.match + 1 == peer.next ? this->now : peer.last_progress;
    peer.next += request.entries.size();
    peer.RecordSent({peer.next - 1, PayloadBytes(request.entries)});
    sent_any = true;
    this->Send(to, std::move(request), false);
  }
  if (heartbeat && !sent_any) {
    AppendRequest request;
    request.prev_index = std::min(peer.match, this->raft_log.LastIndex());
    if (request.prev_index < this->raft_log.snapshot().index) {
      request.prev_index = this->raft_log.snapshot().index;
    }
    request.prev_term = *this->raft_log.TermAt(request.prev_index);
    request.commit = std::min(this->commit_index, peer.match);
    request.read_round = this->read_round;
    this->Send(to, std::move(request), false);
  }
}

void RaftCore::OnAppendResponse(const RaftMessage& message,
                                const AppendResponse& response) {
  const auto found = this->progress.find(message.from);
  if (this->current_role != RaftRole::kLeader ||
      found == this->progress.end()) {
    return;
  }
  Progress& peer = found->second;
  if (this->now - peer.last_heard >= this->options.election_timeout) {
    // The member was unreachable and is back: what was sent meanwhile is lost,
    // and the resend delay grew on a connection that no longer exists. A slow
    // link delays responses but leaves no such gap between them.
    peer.resend_delay = {};
  }
  peer.last_heard = this->now;
  peer.read_round = std::max(peer.read_round, response.read_round);
  if (response.success) {
    const bool progressed = response.match > peer.match;
    peer.probing = peer.probing && !progressed;
    peer.last_progress = progressed ? this->now : peer.last_progress;
    peer.resend_delay = progressed ? Duration{} : peer.resend_delay;
    peer.match = std::max(peer.match,
                          std::min(response.match, this->raft_log.LastIndex()));
    peer.next = std::max(peer.next, peer.match + 1);
    peer.RemoveAcknowledged();
    this->AdvanceCommit();
  } else if (!peer.probing || peer.inflight.empty() ||
             response.match < peer.sent_after) {
    peer.probing = true;
    peer.ClearInflight();
    peer.last_progress = this->now;
    peer.resend_delay = {};
    peer.next =
        std::max(peer.match + 1, std::min(response.match + 1, peer.next));
  }
  // Any other refusal is ignored, because it answers an append sent before the
  // probe in flight: a refusal of the probe itself names an index before the
  // probe. If one of 16 appends of 400 KB is lost, the follower refuses 15;
  // answering each would send 15 appends (12 MB).
  this->ConfirmReads();
  if (this->current_role != RaftRole::kLeader) {
    return;
  }
  this->UpdateQuorumContact();
  if (this->transfer_to == message.from &&
      peer.match == this->raft_log.LastIndex()) {
    this->Send(message.from, TimeoutNow{}, false);
  }
  if (peer.next <= this->raft_log.LastIndex()) {
    this->SendAppend(message.from, false);
  }
}

void RaftCore::AdvanceCommit() {
  std::vector<Index> matches;
  for (const MemberId voter : this->member_list.Voters()) {
    matches.push_back(voter == this->options.self ? this->persisted_index
                                                  : this->MatchOf(voter));
  }
  if (matches.empty()) {
    return;
  }
  std::ranges::sort(matches, std::greater<>());
  const Index agreed = matches.at(matches.size() / 2);
  // Only entries of the current term are committed by counting replicas (Raft,
  // section 5.4.2): another leader may still replace an older one even if a
  // majority holds it.
  if (agreed <= this->commit_index ||
      this->raft_log.TermAt(agreed) != this->hard.term) {
    return;
  }
  this->commit_index = agreed;
  const MemberList committed = this->raft_log.MembersAt(agreed);
  std::erase_if(this->progress, [&](const auto& peer) {
    return committed.Find(peer.first) == nullptr &&
           this->member_list.Find(peer.first) == nullptr;
  });
  if (this->raft_log.LatestMembersIndex() <= agreed &&
      !this->member_list.IsVoter(this->options.self)) {
    this->BroadcastAppend(true);
    this->BecomeFollower(this->hard.term, 0);
    return;
  }
  this->ConfirmReads();
}

void RaftCore::Persisted(const RaftBatch& batch) {
  // The sync of a batch taken before a truncation does not cover the entries
  // appended at the same indexes after it.
  const bool current = batch.number >= this->truncated_in_batch;
  if (current && this->raft_log.TermAt(batch.last_index) == batch.last_term) {
    this->persisted_index = std::max(this->persisted_index, batch.last_index);
  }
  if (this->current_role == RaftRole::kLeader) {
    this->AdvanceCommit();
  }
}

void RaftCore::Compact(const SnapshotMeta& meta) {
  if (meta.index > this->raft_log.snapshot().index &&
      meta.index <= this->applied_index) {
    this->raft_log.Compact(meta);
  }
}

void RaftCore::TransferLeadership(Time time) {
  this->now = std::max(this->now, time);
  if (this->current_role != RaftRole::kLeader) {
    return;
  }
  MemberId best = 0;
  for (const auto& [id, peer] : this->progress) {
    const bool alive =
        this->now - peer.last_heard < this->options.election_timeout;
    if (alive && this->member_list.IsVoter(id) &&
        (best == 0 || peer.match > this->MatchOf(best))) {
      best = id;
    }
  }
  if (best == 0) {
    return;
  }
  this->transfer_to = best;
  this->transfer_until = this->now + this->options.election_timeout;
  if (this->MatchOf(best) == this->raft_log.LastIndex()) {
    this->Send(best, TimeoutNow{}, false);
  }
}

// --- confirmed reads

void RaftCore::RequestRead(std::uint64_t token, Time time) {
  this->now = std::max(this->now, time);
  if (!this->LeaderReady()) {
    this->ready.reads_failed.push_back(token);
    return;
  }
  // The read is confirmed by a heartbeat round that starts after the request.
  this->reads.push_back({token, this->read_round + 1, this->commit_index});
  this->BroadcastAppend(true);
  this->ConfirmReads();
}

bool RaftCore::QuorumAnswered(std::uint64_t round) const {
  std::set<MemberId> answered = {this->options.self};
  for (const auto& [id, peer] : this->progress) {
    if (peer.read_round >= round) {
      answered.insert(id);
    }
  }
  return this->HasQuorum(answered);
}

void RaftCore::UpdateQuorumContact() {
  while (!this->open_rounds.empty() &&
         this->QuorumAnswered(this->open_rounds.front().number)) {
    this->quorum_contact = this->open_rounds.front().started;
    this->open_rounds.pop_front();
  }
}

void RaftCore::ConfirmReads() {
  std::erase_if(this->reads, [this](const PendingRead& read) {
    if (!this->QuorumAnswered(read.round)) {
      return false;
    }
    this->confirmed_reads.push_back(read);
    return true;
  });
}

void RaftCore::FailReads() {
  for (const PendingRead& read : this->reads) {
    this->ready.reads_failed.push_back(read.token);
  }
  for (const PendingRead& read : this->confirmed_reads) {
    this->ready.reads_failed.push_back(read.token);
  }
  this->reads.clear();
  this->confirmed_reads.clear();
}

RaftReady RaftCore::TakeReady() {
  // A leader may apply committed entries that it has not synced itself, as it
  // counts towards the majority only for entries that it has synced. Otherwise
  // a slow disk on the leader would delay all acknowledgements and reads
  // although a majority has synced the entries.
  const Index can_apply =
      this->current_role == RaftRole::kLeader
          ? this->commit_index
          : std::min(this->commit_index, this->persisted_index);
  if (can_apply > this->applied_index) {
    this->ready.committed =
        this->raft_log.Slice(this->applied_index + 1, can_apply, SIZE_MAX);
    this->applied_index = can_apply;
  }
  // A confirmed read waits until everything committed at its request is
  // applied. Otherwise it would miss commands already acknowledged to other
  // callers.
  std::erase_if(this->confirmed_reads, [this](const PendingRead& read) {
    const bool served = read.index <= this->applied_index;
    if (served) {
      this->ready.reads_ready.push_back(read.token);
    }
    return served;
  });
  this->ready.batch = {this->batch_number, this->raft_log.LastIndex(),
                       this->raft_log.LastTerm()};
  ++this->batch_number;
  return std::exchange(this->ready, {});
}

}  // namespace papayarack::consensus
