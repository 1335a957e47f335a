#ifndef PAPAYARACK_CONTROL_CONTROLCLIENT_H_
#define PAPAYARACK_CONTROL_CONTROLCLIENT_H_

#include <chrono>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "control/controlprotocol.h"
#include "transport/peerclient.h"

namespace papayarack::control {

/// Talks to the control group from the other roles and the command line: finds
/// the leader, follows it when it changes, and repeats until `timeout`. Every
/// command is idempotent by its ids, so repeating one whose answer was lost is
/// safe. Thread safety: every method, any thread; they wait for the network.
class ControlClient {
 public:
  /// Precondition: members is not empty.
  ControlClient(transport::PeerClient& client,
                const std::vector<ControlMemberSettings>& members);

  /// The reply of the leader. A reply with a refusal is returned, not thrown.
  /// Throws ResultError(kNoQuorum) when no leader answered in time.
  statemachine::CommandReply Run(const statemachine::Command& command,
                                 std::chrono::milliseconds timeout);
  statemachine::CommandReply Ask(const Query& query,
                                 std::chrono::milliseconds timeout);
  statemachine::CommandReply SendHeartbeat(const Heartbeat& heartbeat,
                                           std::chrono::milliseconds timeout);
  statemachine::CommandReply Change(const MembersChange& change,
                                    std::chrono::milliseconds timeout);

 private:
  statemachine::CommandReply Send(const char* path, const std::string& body,
                                  std::chrono::milliseconds timeout);
  std::string CurrentTarget();
  void TryNext(const std::string& failed, const std::string& hint);

  transport::PeerClient& client;
  std::mutex mutex;
  std::vector<std::string> addresses;
  std::string target;
  std::size_t position = 0;
};

/// Throws the reply's code as ResultError when it is not kOk.
void RequireOk(const statemachine::CommandReply& reply);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_CONTROLCLIENT_H_
