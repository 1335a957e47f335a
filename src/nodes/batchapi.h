#ifndef PAPAYARACK_NODES_BATCHAPI_H_
#define PAPAYARACK_NODES_BATCHAPI_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "http/httpserver.h"
#include "nodes/dialect.h"
#include "nodes/noderuntime.h"
#include "routes/routetable.h"

namespace papayarack::nodes {

/// Answers callers of batches with the job group's word. Thread safety: none,
/// the loop's thread.
class BatchApi {
 public:
  /// Precondition: both outlive it.
  BatchApi(NodeRuntime& runtime, http::HttpServer& front);

  /// A batch for `route`, accepted once the group has it.
  void Submit(http::ExchangeId exchange, const http::HttpRequest& request,
              const routes::Route& route);
  /// Any other call about a batch.
  void Answer(http::ExchangeId exchange, const BatchCall& call);
  /// Gives the caller's call up. False when there is none.
  bool CallerGone(http::ExchangeId exchange);
  bool Empty() const { return this->job_calls.empty(); }

 private:
  void CallJobs(
      http::ExchangeId exchange, const std::string& path, std::string body,
      std::chrono::milliseconds time,
      std::function<http::HttpResponse(const Result&, std::string)> answer);

  NodeRuntime& runtime;
  http::HttpServer& front;
  /// Calls under way, to give up when their callers leave.
  std::unordered_map<http::ExchangeId, std::uint64_t> job_calls;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_BATCHAPI_H_
