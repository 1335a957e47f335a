#include "coordination/groupclient.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coordination/coordinationmessages.h"
#include "global/settings.h"
#include "global/transfertime.h"

namespace papayarack::coordination {
namespace {

/// Delay before the next member is tried, multiplied by the number of attempts.
/// An election takes 0.6 to 1.2 s, and more frequent attempts only cost
/// processor time.
constexpr std::chrono::milliseconds kPause{25};
constexpr int kMaxPauses = 6;

}  // namespace

GroupClient::GroupClient(asio::io_context& context,
                         transport::PeerClient& peers, LeaderSearch& search)
    : context(context), peers(peers), search(search) {}

GroupClient::~GroupClient() { *this->alive = false; }

std::uint64_t GroupClient::Call(std::string path, std::string body,
                                std::chrono::milliseconds time,
                                std::chrono::milliseconds try_time, Done done) {
  const std::uint64_t id = ++this->last_id;
  Attempt attempt;
  attempt.path = std::move(path);
  attempt.body = std::move(body);
  attempt.done = std::move(done);
  attempt.deadline = MonotonicNow() + time;
  attempt.try_time = try_time;
  attempt.timer = std::make_unique<asio::steady_timer>(this->context);
  this->attempts.emplace(id, std::move(attempt));
  this->Try(id);
  return id;
}

std::string GroupClient::NoAnswerText(const Attempt& attempt) {
  return fmt::format("no leader answered in time; attempts: {}, the last at {}",
                     attempt.tries,
                     attempt.target.empty() ? "no member" : attempt.target);
}

std::string GroupClient::AnswerText(const Attempt& attempt, ResultCode code) {
  return code == ResultCode::kOk ? std::string()
                                 : fmt::format("answered by {} at attempt {}",
                                               attempt.target, attempt.tries);
}

void GroupClient::Try(std::uint64_t id) {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const Duration left = attempt.deadline - MonotonicNow();
  if (left <= Duration(0)) {
    this->End(id,
              {CodeOf(attempt, ResultCode::kNoQuorum), NoAnswerText(attempt)},
              {});
    return;
  }
  attempt.target = this->search.NextForCall(attempt.target);
  if (attempt.target.empty()) {
    this->Later(id, kPause);
    return;
  }
  ++attempt.tries;
  attempt.answered = false;
  transport::CallHandlers handlers;
  const std::size_t number = attempt.tries;
  const auto current = [this, id, number] {
    const auto now = this->attempts.find(id);
    return now != this->attempts.end() && now->second.tries == number &&
           !now->second.answered;
  };
  handlers.on_message = [this, id, number, current,
                         alive = this->alive](const std::string& message) {
    if (*alive && current()) {
      this->OnMessage(id, message);
    } else if (*alive) {
      // The try was given up before its reply came.
      this->OnTryEnded(id, number, transport::CallEnd::kLost);
    }
  };
  handlers.on_end = [this, id, number, current,
                     alive = this->alive](transport::CallEnd end) {
    if (!*alive) {
      return;
    }
    this->OnTryEnded(id, number, end);
    if (current()) {
      this->OnFailure(id);
    }
  };
  attempt.call =
      this->peers.Call(ParseEndpoint(attempt.target, "member"), attempt.path,
                       attempt.body, std::move(handlers));
  // The timeout grows with the body. Otherwise a large one would be cancelled
  // midway and sent in full to the next member, again and again until the
  // call's time is over, while the link stays full.
  const std::chrono::milliseconds try_time =
      attempt.try_time + TransferTime(attempt.body.size());
  attempt.timer->expires_after(std::min<Duration>(left, Duration(try_time)));
  attempt.timer->async_wait(
      [this, id, current, alive = this->alive](std::error_code error) {
        if (!error && *alive && current()) {
          this->peers.Cancel(this->attempts.at(id).call);
          this->OnFailure(id);
        }
      });
}

void GroupClient::Later(std::uint64_t id, std::chrono::milliseconds wait) {
  Attempt& attempt = this->attempts.at(id);
  attempt.answered = true;
  attempt.timer->expires_after(wait);
  attempt.timer->async_wait(
      [this, id, alive = this->alive](std::error_code error) {
        if (!error && *alive) {
          this->Try(id);
        }
      });
}

void GroupClient::OnMessage(std::uint64_t id, const std::string& message) {
  GroupReply reply;
  try {
    reply = DecodeMessage<GroupReply>(message);
  } catch (const ResultError& error) {
    this->End(id, error.result(), {});
    return;
  }
  const auto code = static_cast<ResultCode>(reply.code);
  Attempt& attempt = this->attempts.at(id);
  attempt.replied_try = attempt.tries;
  if (code != ResultCode::kNotLeader) {
    this->search.Found(attempt.target);
    this->End(id, {CodeOf(attempt, code), AnswerText(attempt, code)},
              std::move(reply.body));
    return;
  }
  this->search.Refused(attempt.target, std::move(reply.leader));
  this->TryNext(id);
}

/// A member that ends a call without a reply (kFinished) does not serve it.
void GroupClient::OnTryEnded(std::uint64_t id, std::size_t number,
                             transport::CallEnd end) {
  const auto found = this->attempts.find(id);
  if (found != this->attempts.end() && end == transport::CallEnd::kLost &&
      found->second.replied_try < number) {
    found->second.may_have_run = true;
  }
}

ResultCode GroupClient::CodeOf(const Attempt& attempt, ResultCode code) {
  constexpr int kRefusals = 2;  // The codes 200 to 299 of ResultCode.
  const bool refused = static_cast<int>(code) / 100 == kRefusals;
  return attempt.may_have_run && refused ? ResultCode::kUnknownOutcome : code;
}

void GroupClient::OnFailure(std::uint64_t id) {
  this->search.Lost(this->attempts.at(id).target);
  this->TryNext(id);
}

void GroupClient::TryNext(std::uint64_t id) {
  const Attempt& attempt = this->attempts.at(id);
  const std::string& leader = this->search.leader();
  const bool has_hint = !leader.empty() && leader != attempt.target;
  const int pauses = std::min(static_cast<int>(attempt.tries), kMaxPauses);
  this->Later(id, has_hint && attempt.tries < 3 ? std::chrono::milliseconds(0)
                                                : kPause * pauses);
}

void GroupClient::End(std::uint64_t id, const Result& result,
                      std::string body) {
  const auto found = this->attempts.find(id);
  const Done done = std::move(found->second.done);
  this->attempts.erase(found);
  done(result, std::move(body));
}

void GroupClient::Cancel(std::uint64_t call) {
  const auto found = this->attempts.find(call);
  if (found == this->attempts.end()) {
    return;
  }
  if (!found->second.answered) {
    this->peers.Cancel(found->second.call);
  }
  this->attempts.erase(found);
}

}  // namespace papayarack::coordination
