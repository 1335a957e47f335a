#ifndef PAPAYARACK_NODES_BATCHAPI_H_
#define PAPAYARACK_NODES_BATCHAPI_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "batches/batchmessages.h"
#include "http/httpserver.h"
#include "nodes/dialect.h"
#include "nodes/noderuntime.h"
#include "organisations/authentication.h"
#include "routes/routetable.h"

namespace papayarack::nodes {

/// Serves the batch calls of the callers' interface by forwarding them to the
/// job group. Thread safety: none, the loop's thread.
class BatchApi {
 public:
  /// Precondition: both arguments outlive it.
  BatchApi(NodeRuntime& runtime, http::HttpServer& front);

  /// Who submits a batch.
  struct Submitter {
    /// The batch will belong to it; empty: to nobody, as its route needs no
    /// key.
    std::string organisation;
    /// Holds the key that the caller sent, needed or not; empty: nobody.
    std::string key_holder;
  };

  /// Submits a batch for `route`; answers once the job group has committed it.
  void Submit(http::ExchangeId exchange, const http::HttpRequest& request,
              const routes::Route& route, Submitter submitter);
  /// Any other call about a batch. Batches of other organisations are not
  /// found, or refused to a caller whose key is rejected.
  void Answer(http::ExchangeId exchange, const BatchCall& call,
              const organisations::BatchCaller& caller);
  /// Cancels the call of a caller that disconnected. False when there is none.
  bool CallerGone(http::ExchangeId exchange);
  /// From now on waits for no results beyond `answer_by`, when this process
  /// must end.
  void BeginLeave(Time answer_by) { this->answer_by = answer_by; }
  /// Answers the calls in progress, as the process must end.
  void AnswerOpen();
  bool Empty() const { return this->job_calls.empty(); }

 private:
  /// A call to the job group.
  struct JobCall {
    std::string path;
    std::string body;
    std::chrono::milliseconds time{};  ///< Timeout.
    batches::ItemRef about;            ///< `item` is empty for a whole batch.
  };

  /// A call in progress.
  struct OpenCall {
    std::uint64_t call = 0;  ///< At the client of the job group.
    std::string path;
    batches::ItemRef about;
    Time begun{};
  };

  /// How long a read may wait for results.
  std::chrono::milliseconds WaitFor(std::uint32_t wanted_ms) const;
  void CallJobs(
      http::ExchangeId exchange, JobCall job,
      std::function<http::HttpResponse(const Result&, std::string)> answer);

  NodeRuntime& runtime;
  http::HttpServer& front;
  /// Calls in progress, cancelled when their callers disconnect.
  std::unordered_map<http::ExchangeId, OpenCall> job_calls;
  std::optional<Time> answer_by;  ///< Set once the process leaves.
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_BATCHAPI_H_
