#include <algorithm>

#include "consensus/raftmessages.h"
#include "global/variantcodec.h"

namespace papayarack::consensus {
namespace {

/// Wire format of RaftMessage; PackWireMessage produces it.
struct WireMessage {
  std::uint32_t version = kMessageVersion;
  GroupId group = 0;
  MemberId from = 0;
  MemberId to = 0;
  Term term = 0;
  std::string body;
  MSGPACK_DEFINE(version, group, from, to, term, body)
};

/// Encodes a WireMessage whose body is EncodeVariant(message.body), each nested
/// encoding in place.
template <typename Sink>
void PackWireMessage(const RaftMessage& message, Sink& sink) {
  constexpr std::uint32_t kFields = 6;
  msgpack::packer<Sink> packer(sink);
  packer.pack_array(kFields);
  packer.pack(kMessageVersion);
  packer.pack(message.group);
  packer.pack(message.from);
  packer.pack(message.to);
  packer.pack(message.term);
  packer.pack_str(static_cast<std::uint32_t>(EncodedVariantSize(message.body)));
  PackVariant(message.body, sink);
}

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

std::size_t EncodedRaftSize(const RaftMessage& message) {
  PackedSize size;
  PackWireMessage(message, size);
  return size.bytes;
}

void PackRaftMessage(const RaftMessage& message, PackedString& packed) {
  const auto length = static_cast<std::uint32_t>(EncodedRaftSize(message));
  msgpack::packer<PackedString>(packed).pack_str(length);
  PackWireMessage(message, packed);
}

std::string EncodeRaftMessage(const RaftMessage& message) {
  PackedString packed;
  packed.bytes.reserve(EncodedRaftSize(message));
  PackWireMessage(message, packed);
  return std::move(packed.bytes);
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
