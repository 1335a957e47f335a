#include <algorithm>

#include "consensus/raftmessages.h"
#include "global/variantcodec.h"

namespace papayarack::consensus {
namespace {

/// Wire format of RaftMessage.
struct WireMessage {
  std::uint32_t version = kMessageVersion;
  GroupId group = 0;
  MemberId from = 0;
  MemberId to = 0;
  Term term = 0;
  std::string body;
  MSGPACK_DEFINE(version, group, from, to, term, body)
};

}  // namespace

const Member* MemberList::Find(MemberId id) const {
  const auto found = std::ranges::find(this->members, id, &Member::id);
  return found != this->members.end() ? &*found : nullptr;
}

bool MemberList::IsVoter(MemberId id) const {
  const Member* member = this->Find(id);
  return member != nullptr && member->voter;
}

std::vector<MemberId> MemberList::Voters() const {
  std::vector<MemberId> voters;
  for (const Member& member : this->members) {
    if (member.voter) {
      voters.push_back(member.id);
    }
  }
  return voters;
}

std::string EncodeRaftMessage(const RaftMessage& message) {
  WireMessage wire;
  wire.group = message.group;
  wire.from = message.from;
  wire.to = message.to;
  wire.term = message.term;
  wire.body = EncodeVariant(message.body);
  return EncodeMessage(wire);
}

RaftMessage DecodeRaftMessage(std::string_view bytes) {
  const auto wire = DecodeMessage<WireMessage>(bytes);
  if (wire.version != kMessageVersion) {
    throw ResultError(ResultCode::kProtocol,
                      "peer speaks another message version");
  }
  return {wire.group, wire.from, wire.to, wire.term,
          DecodeVariant<MessageBody>(wire.body)};
}

}  // namespace papayarack::consensus
