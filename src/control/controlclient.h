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

/// Client of the control group for the other roles and the command line: finds
/// the leader, follows it when it changes, and retries until `timeout`. Every
/// command is idempotent through its ids, so repeating one whose answer was
/// lost is safe. Thread safety: every method, any thread; they block on the
/// network.
class ControlClient {
 public:
  /// Precondition: members is not empty.
  ControlClient(transport::PeerClient& client,
                const std::vector<ControlMemberSettings>& members);

  /// Returns the reply of the leader; a refusal is returned, not thrown. Throws
  /// ResultError(kNoQuorum) if no leader answered in time.
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

/// Throws ResultError with the code of the reply unless it is kOk.
void RequireOk(const statemachine::CommandReply& reply);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_CONTROLCLIENT_H_
