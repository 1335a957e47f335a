#ifndef PAPAYARACK_CONSENSUS_RAFTMESSAGES_H_
#define PAPAYARACK_CONSENSUS_RAFTMESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "global/messagecodec.h"

namespace papayarack::consensus {

using GroupId = std::uint32_t;
using MemberId = std::uint64_t;  ///< Zero means no member.
using Term = std::uint64_t;
using Index = std::uint64_t;  ///< The first entry of a group has index 1.

enum class EntryKind : std::uint8_t { kNoop = 0, kCommand = 1, kMembers = 2 };

/// One entry of the replicated log.
struct Entry {
  Term term = 0;
  Index index = 0;
  std::uint8_t kind = 0;
  std::string payload;
  MSGPACK_DEFINE(term, index, kind, payload)

  EntryKind Kind() const { return static_cast<EntryKind>(this->kind); }
};

/// One member of a group. A learner receives the log and does not vote.
struct Member {
  MemberId id = 0;
  std::string address;
  bool voter = false;
  MSGPACK_DEFINE(id, address, voter)
  bool operator==(const Member&) const = default;
};

/// The members of a group; payload of a kMembers entry.
struct MemberList {
  std::vector<Member> members;
  MSGPACK_DEFINE(members)
  bool operator==(const MemberList&) const = default;

  const Member* Find(MemberId id) const;
  bool IsVoter(MemberId id) const;
  std::vector<MemberId> Voters() const;
};

/// The part of the Raft state that must be on disk before a vote or an
/// acknowledgement is sent.
struct HardState {
  Term term = 0;
  MemberId vote = 0;
  MSGPACK_DEFINE(term, vote)
  bool operator==(const HardState&) const = default;
};

/// Describes the log prefix that a snapshot replaces.
struct SnapshotMeta {
  Index index = 0;
  Term term = 0;
  MemberList members;
  /// Bytes of the blob store that the snapshot covers.
  std::uint64_t blob_length = 0;
  std::uint64_t state_bytes = 0;
  MSGPACK_DEFINE(index, term, members, blob_length, state_bytes)
};

/// Requests a vote. With `pre_vote`, asks only whether the vote would be
/// granted.
struct VoteRequest {
  bool pre_vote = false;
  bool transfer = false;  ///< The election was started by the leader, to
                          ///< transfer leadership.
  Index last_index = 0;
  Term last_term = 0;
  MSGPACK_DEFINE(pre_vote, transfer, last_index, last_term)
};
struct VoteResponse {
  bool pre_vote = false;
  bool granted = false;
  MSGPACK_DEFINE(pre_vote, granted)
};
/// Carries the entries after (prev_index, prev_term). Without entries it is a
/// heartbeat.
struct AppendRequest {
  Index prev_index = 0;
  Term prev_term = 0;
  Index commit = 0;
  std::uint64_t read_round = 0;
  std::vector<Entry> entries;
  MSGPACK_DEFINE(prev_index, prev_term, commit, read_round, entries)
};
struct AppendResponse {
  bool success = false;
  Index match = 0;  ///< On success, the highest index that matches the leader's
                    ///< log and is synced; on failure, the index after which
                    ///< the leader should retry.
  std::uint64_t read_round = 0;
  MSGPACK_DEFINE(success, match, read_round)
};
/// Sent when the leader has compacted entries that the follower lacks. The
/// follower must fetch the snapshot from the sender.
struct SnapshotOffer {
  SnapshotMeta meta;
  MSGPACK_DEFINE(meta)
};
/// Sent by the leader to transfer leadership: the receiver starts an election
/// at once.
struct TimeoutNow {
  bool unused = false;
  MSGPACK_DEFINE(unused)
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest,
                                 AppendResponse, SnapshotOffer, TimeoutNow>;

/// One message between two members of a group.
struct RaftMessage {
  GroupId group = 0;
  MemberId from = 0;
  MemberId to = 0;
  Term term = 0;
  MessageBody body;
};

/// Thread safety of these functions: any thread.
std::string EncodeRaftMessage(const RaftMessage& message);
/// Encodes the message as a string field of `packed`, without a copy in
/// between, as it may carry many entries.
void PackRaftMessage(const RaftMessage& message, PackedString& packed);
/// Size of EncodeRaftMessage(message).
std::size_t EncodedRaftSize(const RaftMessage& message);
/// Throws ResultError(kProtocol) if `bytes` are malformed.
RaftMessage DecodeRaftMessage(std::string_view bytes);

}  // namespace papayarack::consensus

#endif  // PAPAYARACK_CONSENSUS_RAFTMESSAGES_H_
