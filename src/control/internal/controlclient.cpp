#include "control/controlclient.h"

#include <algorithm>
#include <thread>

#include "global/timepoint.h"
#include "global/variantcodec.h"

namespace papayarack::control {
namespace {

constexpr std::chrono::milliseconds kAttemptTimeout{2500};
constexpr std::chrono::milliseconds kRetryDelay{40};

bool ShouldTryNextMember(ResultCode code) {
  return code == ResultCode::kNotLeader || code == ResultCode::kNoQuorum ||
         code == ResultCode::kOverloaded || code == ResultCode::kLeaving ||
         code == ResultCode::kStorageFull ||
         code == ResultCode::kUnknownOutcome;
}

}  // namespace

ControlClient::ControlClient(transport::PeerClient& client,
                             const std::vector<ControlMemberSettings>& members)
    : client(client) {
  for (const ControlMemberSettings& member : members) {
    this->addresses.push_back(member.address);
  }
  this->target = this->addresses.front();
}

std::string ControlClient::CurrentTarget() {
  const std::lock_guard lock(this->mutex);
  return this->target;
}

void ControlClient::TryNext(const std::string& failed,
                            const std::string& hint) {
  const std::lock_guard lock(this->mutex);
  if (this->target != failed) {
    return;  // Another thread has switched already.
  }
  if (!hint.empty() && hint != failed) {
    this->target = hint;
    return;
  }
  this->position = (this->position + 1) % this->addresses.size();
  this->target = this->addresses[this->position];
}

statemachine::CommandReply ControlClient::Send(
    const char* path, const std::string& body,
    std::chrono::milliseconds timeout) {
  const Time deadline = MonotonicNow() + timeout;
  std::string last_error = "no control member answered";
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - MonotonicNow());
    if (left.count() <= 0) {
      throw ResultError(ResultCode::kNoQuorum, "control: " + last_error);
    }
    const std::string address = this->CurrentTarget();
    try {
      const std::string answer =
          this->client.CallAndWait(ParseEndpoint(address, "control"), path,
                                   body, std::min(left, kAttemptTimeout));
      auto reply = DecodeMessage<statemachine::CommandReply>(answer);
      if (!ShouldTryNextMember(reply.Code())) {
        return reply;
      }
      last_error = reply.text;
      this->TryNext(address, reply.leader);
    } catch (const ResultError& error) {
      last_error = error.what();
      this->TryNext(address, {});
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
}

statemachine::CommandReply ControlClient::Run(
    const statemachine::Command& command, std::chrono::milliseconds timeout) {
  return this->Send(path::kCommand, EncodeVariant(command), timeout);
}

statemachine::CommandReply ControlClient::Ask(
    const Query& query, std::chrono::milliseconds timeout) {
  return this->Send(path::kQuery, EncodeVariant(query), timeout);
}

statemachine::CommandReply ControlClient::SendHeartbeat(
    const Heartbeat& heartbeat, std::chrono::milliseconds timeout) {
  return this->Send(path::kHeartbeat, EncodeMessage(heartbeat), timeout);
}

statemachine::CommandReply ControlClient::Change(
    const MembersChange& change, std::chrono::milliseconds timeout) {
  return this->Send(path::kMembers, EncodeMessage(change), timeout);
}

void RequireOk(const statemachine::CommandReply& reply) {
  if (reply.code != 0) {
    throw ResultError(reply.Code(), reply.text);
  }
}

}  // namespace papayarack::control
