#include "consensus/raftcore.h"

#include <algorithm>
#include <utility>

#include "global/transfertime.h"
#include "global/variantcodec.h"

namespace papayarack::consensus {
namespace {

/// How many members differ between two lists, by id and by right to vote.
std::size_t CountDifferences(const MemberList& one, const MemberList& other) {
  std::size_t differences = 0;
  for (const Member& member : one.members) {
    const Member* twin = other.Find(member.id);
    differences += (twin == nullptr || twin->voter != member.voter) ? 1 : 0;
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
      leader_heard(now - options.election),
      random(options.seed) {
  for (Entry& entry : entries) {
    this->raft_log.Append(std::move(entry));
  }
  this->persisted_index = this->raft_log.LastIndex();
  this->RefreshMembers();
  this->ResetElectionTimer(this->options.first_election);
}

void RaftCore::RefreshMembers() {
  this->member_list = this->raft_log.LatestMembers();
}

void RaftCore::ResetElectionTimer() {
  this->ResetElectionTimer(this->options.election);
}

void RaftCore::ResetElectionTimer(Duration least) {
  std::uniform_int_distribution<std::int64_t> extra(0, least.count());
  this->election_deadline = this->now + least + Duration(extra(this->random));
}

bool RaftCore::LeaderReady() const {
  return this->current_role == RaftRole::kLeader &&
         this->commit_index >= this->term_start;
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

// --- time

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

/// Symptom guarded against: a leader cut off from the others goes on answering
/// as if in charge. It notices that no majority answered within an election
/// timeout, and steps down.
void RaftCore::CheckQuorum() {
  std::set<MemberId> heard = {this->options.self};
  for (const auto& [id, known] : this->progress) {
    if (this->now - known.last_heard < this->options.election) {
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
  const Term asked_term = pre_vote ? this->hard.term + 1 : this->hard.term;
  for (const MemberId voter : this->member_list.Voters()) {
    if (voter != this->options.self) {
      this->Send(voter,
                 VoteRequest{pre_vote, transfer, this->raft_log.LastIndex(),
                             this->raft_log.LastTerm()},
                 !pre_vote, asked_term);
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

bool RaftCore::LeaderHeardLately() const {
  const bool leads = this->current_role == RaftRole::kLeader;
  return leads || (this->leader_id != 0 &&
                   this->now - this->leader_heard < this->options.election);
}

void RaftCore::OnVoteRequest(const RaftMessage& message,
                             const VoteRequest& request) {
  const bool log_current =
      std::pair(request.last_term, request.last_index) >=
      std::pair(this->raft_log.LastTerm(), this->raft_log.LastIndex());
  if (request.pre_vote) {
    const bool granted = message.term > this->hard.term && log_current &&
                         !this->LeaderHeardLately();
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
  // The vote leaves only after it is synced: a voter that forgets it could vote
  // twice.
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
  for (const Member& member : this->member_list.members) {
    if (member.id != this->options.self) {
      Progress fresh;
      fresh.next = this->raft_log.LastIndex() + 1;
      fresh.last_heard = this->now;
      // Without it every follower counts as silent since the epoch and gets the
      // log from its start, up to 1 MB each, at each election.
      fresh.last_progress = this->now;
      this->progress[member.id] = fresh;
    }
  }
  this->AppendOwn(EntryKind::kNoop, {});
  this->term_start = this->raft_log.LastIndex();
  this->BroadcastAppend(true);
}

// --- messages

bool RaftCore::AdmitTerm(const RaftMessage& message) {
  const auto* vote = std::get_if<VoteRequest>(&message.body);
  const auto* answer = std::get_if<VoteResponse>(&message.body);
  if (message.term < this->hard.term) {
    // A deposed leader or a member that missed terms learns of the term from
    // the refusal. Without an answer to every kind, a member in a later term
    // would stay behind for good.
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
    // hear.
    if (!vote->transfer && this->LeaderHeardLately()) {
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
      message.group != this->options.group || !this->AdmitTerm(message)) {
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
    const std::optional<Term> have = this->raft_log.TermAt(entry.index);
    if (have == entry.term) {
      continue;
    }
    if (have.has_value()) {
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
  this->leader_heard = this->now;
  this->ResetElectionTimer();
  if (!this->AcceptEntries(request)) {
    // What is committed here is equal everywhere; beyond it the logs may differ
    // entry by entry.
    const bool gap = request.prev_index > this->raft_log.LastIndex();
    const Index try_from =
        gap ? this->raft_log.LastIndex() : this->commit_index;
    this->Send(message.from,
               AppendResponse{false, try_from, request.read_round}, true);
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
  this->leader_heard = this->now;
  this->ResetElectionTimer();
  if (!this->WantsSnapshot(offer.meta)) {
    this->commit_index = std::max(this->commit_index, offer.meta.index);
    this->Send(message.from, AppendResponse{true, this->commit_index, 0}, true);
    return;
  }
  this->ready.fetch_snapshot = offer;
  this->ready.fetch_from = message.from;
}

/// Symptom guarded against: committed entries vanish. A member that has just
/// restarted knows no commit index; were it to take a snapshot that its log
/// already covers, it would throw away the entries after it, some of them
/// committed with its help. So a covered snapshot is declined.
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

void RaftCore::AppendOwn(EntryKind kind, std::string payload) {
  Entry entry{this->hard.term, this->raft_log.LastIndex() + 1,
              static_cast<std::uint8_t>(kind), std::move(payload)};
  this->raft_log.Append(entry);
  this->ready.entries.push_back(std::move(entry));
}

ProposalPlace RaftCore::Propose(std::string payload) {
  if (this->current_role != RaftRole::kLeader || this->transfer_to != 0) {
    throw ResultError(ResultCode::kNotLeader,
                      "this member does not lead the group");
  }
  if (this->raft_log.Bytes() > this->options.max_uncommitted_bytes) {
    throw ResultError(ResultCode::kOverloaded,
                      "too many bytes wait to be committed");
  }
  this->AppendOwn(EntryKind::kCommand, std::move(payload));
  this->BroadcastAppend(false);
  return {this->raft_log.LastIndex(), this->hard.term};
}

ProposalPlace RaftCore::ProposeMembers(const MemberList& members) {
  if (CountDifferences(this->member_list, members) != 1) {
    throw ResultError(ResultCode::kConflict, "change one member at a time");
  }
  return this->AppendMembers(members);
}

ProposalPlace RaftCore::ProposeReplacement(MemberId lost, MemberId heir) {
  if (lost == this->options.self || this->member_list.Find(lost) == nullptr ||
      this->member_list.Find(heir) == nullptr) {
    throw ResultError(ResultCode::kConflict,
                      "a replacement needs a lost member and a learner");
  }
  MemberList members = this->member_list;
  std::erase_if(members.members,
                [lost](const Member& member) { return member.id == lost; });
  for (Member& member : members.members) {
    member.voter = member.voter || member.id == heir;
  }
  return this->AppendMembers(members);
}

void RaftCore::CheckPromotions(const MemberList& members) const {
  for (const Member& member : members.members) {
    // A learner counts only when it holds, synced, all that is committed:
    // counting an empty member would let a majority exist that lacks
    // acknowledged entries.
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

ProposalPlace RaftCore::AppendMembers(const MemberList& members) {
  if (!this->LeaderReady() || this->transfer_to != 0) {
    throw ResultError(ResultCode::kNotLeader,
                      "this member does not lead the group");
  }
  if (this->raft_log.LatestMembersIndex() > this->commit_index) {
    throw ResultError(ResultCode::kConflict,
                      "another membership change is under way");
  }
  this->CheckPromotions(members);
  this->AppendOwn(EntryKind::kMembers, EncodeMessage(members));
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
    this->heartbeat_due = this->now + this->options.heartbeat;
    ++this->read_round;
  }
  std::vector<MemberId> targets;
  for (const auto& [id, known] : this->progress) {
    targets.push_back(id);
  }
  for (const MemberId id : targets) {
    this->SendAppend(id, heartbeat);
  }
}

void RaftCore::SendOffer(MemberId to, Progress& known) {
  known.snapshot_offered = this->raft_log.snapshot().index;
  this->Send(to, SnapshotOffer{this->raft_log.snapshot()}, false);
}

/// Answers to heartbeats do not count as acknowledgements: they come also when
/// every append was lost. Symptom guarded against: a large entry that takes
/// longer than the wait to arrive is sent again and again, which fills the
/// leader's link and makes everything on it later still. So the first wait
/// grows with what is under way, and each further one doubles.
void RaftCore::ResendWhenSilent(Progress& known) {
  const bool outstanding = known.match + 1 < known.next;
  const Duration first_wait =
      2 * this->options.heartbeat + TransferTime(known.inflight_bytes);
  const Duration wait = std::clamp<Duration>(first_wait, known.resend_wait,
                                             this->options.longest_resend_wait);
  if (!outstanding || this->now - known.last_progress < wait) {
    return;
  }
  known.next = known.match + 1;
  known.ForgetSent();
  known.probing = true;
  ++this->resend_count;
  known.resend_wait = std::min(2 * wait, this->options.longest_resend_wait);
}

void RaftCore::Progress::Sent(const SentAppend& append) {
  this->inflight.push_back(append);
  this->inflight_bytes += append.bytes;
}

void RaftCore::Progress::Arrived() {
  while (!this->inflight.empty() &&
         this->inflight.front().last <= this->match) {
    this->inflight_bytes -= this->inflight.front().bytes;
    this->inflight.pop_front();
  }
}

void RaftCore::Progress::ForgetSent() {
  this->inflight.clear();
  this->inflight_bytes = 0;
}

/// Symptom guarded against: large entries while a follower's acknowledgements
/// are late put 16 appends of up to 1 MB each on its way; its link stays full
/// for seconds, and with four followers the leader holds 64 MB. What is under
/// way is bounded by its bytes too.
std::optional<std::size_t> RaftCore::BytesToSend(const Progress& known) const {
  if (known.inflight.empty()) {
    return this->options.max_append_bytes;
  }
  if (known.probing ||
      known.inflight.size() >= this->options.max_inflight_appends ||
      known.inflight_bytes >= this->options.max_inflight_bytes) {
    return std::nullopt;
  }
  const std::size_t left =
      this->options.max_inflight_bytes - known.inflight_bytes;
  // An append carries one entry at least, whatever its size.
  if (this->raft_log.PayloadBytesAt(known.next) > left) {
    return std::nullopt;
  }
  return std::min(this->options.max_append_bytes, left);
}

void RaftCore::SendAppend(MemberId to, bool heartbeat) {
  Progress& known = this->progress.at(to);
  if (heartbeat) {
    this->ResendWhenSilent(known);
  }
  if (known.next < this->raft_log.FirstIndex()) {
    if (heartbeat ||
        known.snapshot_offered != this->raft_log.snapshot().index) {
      this->SendOffer(to, known);
    }
    return;
  }
  bool sent_any = false;
  while (known.next <= this->raft_log.LastIndex()) {
    const std::optional<std::size_t> bytes = this->BytesToSend(known);
    if (!bytes.has_value()) {
      break;
    }
    AppendRequest request;
    request.prev_index = known.next - 1;
    request.prev_term = *this->raft_log.TermAt(request.prev_index);
    known.sent_after = request.prev_index;
    request.commit = this->commit_index;
    request.read_round = this->read_round;
    request.entries =
        this->raft_log.Slice(known.next, this->raft_log.LastIndex(), *bytes);
    known.last_progress =
        known.match + 1 == known.next ? this->now : known.last_progress;
    known.next += request.entries.size();
    known.Sent({known.next - 1, PayloadBytes(request.entries)});
    sent_any = true;
    this->Send(to, std::move(request), false);
  }
  if (heartbeat && !sent_any) {
    AppendRequest request;
    request.prev_index = std::min(known.match, this->raft_log.LastIndex());
    if (request.prev_index < this->raft_log.snapshot().index) {
      request.prev_index = this->raft_log.snapshot().index;
    }
    request.prev_term = *this->raft_log.TermAt(request.prev_index);
    request.commit = std::min(this->commit_index, known.match);
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
  Progress& known = found->second;
  if (this->now - known.last_heard >= this->options.election) {
    // Back after it was out of reach: what was sent meanwhile is lost, and the
    // wait that has grown belongs to a connection that is gone. On a slow link
    // answers come late but without such gaps.
    known.resend_wait = {};
  }
  known.last_heard = this->now;
  known.read_round = std::max(known.read_round, response.read_round);
  if (response.success) {
    const bool progressed = response.match > known.match;
    known.probing = known.probing && !progressed;
    known.last_progress = progressed ? this->now : known.last_progress;
    known.resend_wait = progressed ? Duration{} : known.resend_wait;
    known.match = std::max(
        known.match, std::min(response.match, this->raft_log.LastIndex()));
    known.next = std::max(known.next, known.match + 1);
    known.Arrived();
    this->AdvanceCommit();
  } else if (!known.probing || known.inflight.empty() ||
             response.match < known.sent_after) {
    known.probing = true;
    known.ForgetSent();
    known.last_progress = this->now;
    known.resend_wait = {};
    known.next =
        std::max(known.match + 1, std::min(response.match + 1, known.next));
  }
  // Any other refusal is of an append sent before the probe that is under way:
  // that probe's own names an index before it. With one of 16 appends of 400 KB
  // lost, the follower refuses 15; answering each sent 15 appends (12 MB).
  this->AnswerReads();
  if (this->current_role != RaftRole::kLeader) {
    return;
  }
  if (this->transfer_to == message.from &&
      known.match == this->raft_log.LastIndex()) {
    this->Send(message.from, TimeoutNow{}, false);
  }
  if (known.next <= this->raft_log.LastIndex()) {
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
  // Only entries of the own term are counted (Raft, section 5.4.2): an older
  // one may still be replaced by another leader even when a majority holds it.
  if (agreed <= this->commit_index ||
      this->raft_log.TermAt(agreed) != this->hard.term) {
    return;
  }
  this->commit_index = agreed;
  const MemberList committed = this->raft_log.MembersAt(agreed);
  std::erase_if(this->progress, [&](const auto& known) {
    return committed.Find(known.first) == nullptr &&
           this->member_list.Find(known.first) == nullptr;
  });
  if (this->raft_log.LatestMembersIndex() <= agreed &&
      !this->member_list.IsVoter(this->options.self)) {
    this->BroadcastAppend(true);
    this->BecomeFollower(this->hard.term, 0);
    return;
  }
  this->AnswerReads();
}

void RaftCore::Persisted(const RaftBatch& batch) {
  // A batch written before a truncation says nothing about entries that came
  // back after it.
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
  for (const auto& [id, known] : this->progress) {
    const bool alive = this->now - known.last_heard < this->options.election;
    if (alive && this->member_list.IsVoter(id) &&
        (best == 0 || known.match > this->MatchOf(best))) {
      best = id;
    }
  }
  if (best == 0) {
    return;
  }
  this->transfer_to = best;
  this->transfer_until = this->now + this->options.election;
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
  // The read is confirmed by a heartbeat round that starts after it came.
  this->reads.push_back({token, this->read_round + 1, this->commit_index});
  this->BroadcastAppend(true);
  this->AnswerReads();
}

void RaftCore::AnswerReads() {
  std::erase_if(this->reads, [this](const PendingRead& read) {
    std::set<MemberId> confirmed = {this->options.self};
    for (const auto& [id, known] : this->progress) {
      if (known.read_round >= read.round) {
        confirmed.insert(id);
      }
    }
    if (!this->HasQuorum(confirmed)) {
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
  // Symptom guarded against: nothing is acknowledged or read while the leader's
  // disk is slow, though a majority has synced all of it. A leader need not
  // have synced what it answers; it does not count itself towards the majority
  // before.
  const Index can_apply =
      this->current_role == RaftRole::kLeader
          ? this->commit_index
          : std::min(this->commit_index, this->persisted_index);
  if (can_apply > this->applied_index) {
    this->ready.committed =
        this->raft_log.Slice(this->applied_index + 1, can_apply, SIZE_MAX);
    this->applied_index = can_apply;
  }
  // A confirmed read waits for all that was committed when it came, or it would
  // miss what another caller was already told.
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
