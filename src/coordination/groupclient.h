#ifndef PAPAYARACK_COORDINATION_GROUPCLIENT_H_
#define PAPAYARACK_COORDINATION_GROUPCLIENT_H_

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/leadersearch.h"
#include "global/resultcode.h"
#include "global/timepoint.h"
#include "transport/peerclient.h"

namespace papayarack::coordination {

/// Calls the leader of a replicated group. Follows hints and moves on to
/// another member after a failure or timeout, until the call's time is over.
/// Only for idempotent calls. Thread safety: none, the loop's thread.
class GroupClient {
 public:
  /// Called once with the leader's reply, or with kNoQuorum if no leader
  /// answered in time. kNoQuorum, and a reply that refuses the call, become
  /// kUnknownOutcome where a member may have done what an earlier attempt
  /// asked. The text of a refusal names the member and the number of attempts.
  using Done = std::function<void(const Result& result, std::string body)>;

  /// Precondition: `search` outlives the client.
  GroupClient(asio::io_context& context, transport::PeerClient& peers,
              LeaderSearch& search);
  ~GroupClient();
  GroupClient(const GroupClient&) = delete;
  GroupClient& operator=(const GroupClient&) = delete;

  /// `try_time` bounds one attempt, longer by TransferTime(body.size()); `time`
  /// bounds all of them, whatever the size.
  std::uint64_t Call(std::string path, std::string body,
                     std::chrono::milliseconds time,
                     std::chrono::milliseconds try_time, Done done);
  /// Cancels the call; `done` is not called.
  void Cancel(std::uint64_t call);

 private:
  struct Attempt {
    std::string path;
    std::string body;
    Done done;
    Time deadline{};
    std::chrono::milliseconds try_time{0};
    std::size_t tries = 0;
    transport::CallId call = 0;
    std::unique_ptr<asio::steady_timer> timer;
    std::string target;
    bool answered = false;
    std::size_t replied_try = 0;  ///< Number of the last try with a reply.
    /// A member may have received a try and has not replied.
    bool may_have_run = false;
  };
  /// Texts of results for logs.
  static std::string NoAnswerText(const Attempt& attempt);
  static std::string AnswerText(const Attempt& attempt, ResultCode code);
  void Try(std::uint64_t id);
  void Later(std::uint64_t id, std::chrono::milliseconds wait);
  void OnMessage(std::uint64_t id, const std::string& message);
  /// Try `number` has ended, in some cases after the next one has begun.
  void OnTryEnded(std::uint64_t id, std::size_t number, transport::CallEnd end);
  /// `code`, or kUnknownOutcome where it would tell that nothing was done and
  /// that is not known.
  static ResultCode CodeOf(const Attempt& attempt, ResultCode code);
  /// The target did not answer.
  void OnFailure(std::uint64_t id);
  void TryNext(std::uint64_t id);
  void End(std::uint64_t id, const Result& result, std::string body);

  asio::io_context& context;
  transport::PeerClient& peers;
  LeaderSearch& search;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_GROUPCLIENT_H_
