#ifndef PAPAYARACK_NODES_DIALECT_H_
#define PAPAYARACK_NODES_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "batches/batchmessages.h"
#include "coordination/coordinationmessages.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "routes/fleetconfiguration.h"

namespace papayarack::nodes {

/// What an entry needs to know of a caller's request that runs at once.
struct CallFields {
  std::string id;
  std::optional<std::chrono::milliseconds> deadline;  ///< From its arrival.
  std::optional<std::uint64_t> resume_after;  ///< Last event the caller has.
};

/// What an entry or gate tells the engine with a request.
struct ForwardFields {
  std::optional<std::chrono::milliseconds> deadline;  ///< What is left.
  std::string engine_id;  ///< Only the replica of this id may run it.
  std::optional<std::uint64_t> resume_after;
};

/// What an engine says of itself with an answer.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::uint64_t started_ms = 0;  ///< As in coordination::EngineInstance.
};
struct EngineHead {
  bool not_run = false;  ///< The engine states that the request did not run.
  bool sealed = false;   ///< It carries the mark of a whole engine answer.
  std::optional<EngineLoad> load;
};

/// Calls about batches.
struct BatchResultsCall {
  batches::ReadResults query;
};
struct BatchBodyCall {
  batches::ReadItemBody query;
};
struct BatchEndCall {
  std::string id;
};
using BatchCall =
    std::variant<std::monostate, BatchResultsCall, BatchBodyCall, BatchEndCall>;

/// Calls of operators.
struct ReplaceConfigurationCall {
  std::uint64_t version = 0;
  std::string text;
};
struct ReadConfigurationCall {};
struct EmptyStoreCall {
  std::string name;
};
struct ReadStoreCall {
  std::string name;
};
using OperatorCall =
    std::variant<std::monostate, ReplaceConfigurationCall,
                 ReadConfigurationCall, EmptyStoreCall, ReadStoreCall>;

/// One page of the platform's list of replicas.
struct EnginePage {
  std::vector<coordination::EngineInstance> engines;
  std::string next;         ///< Token of the following page; empty on the last.
  std::size_t skipped = 0;  ///< Entries that name no replica to use.
  /// What was wrong with the first of them, or with `next`; empty when nothing
  /// was.
  std::string first_problem;
};

/// The names and formats that a deployment speaks; each function only
/// translates. Those that read throw ResultError(kBadInput) for what they
/// cannot read in full. Thread safety: any thread.
struct Dialect {
  std::function<CallFields(const http::Headers&)> read_call;
  std::function<void(http::Headers&, const ForwardFields&)> write_forward;
  /// The header by which an answer is known to belong to request `id`.
  std::function<http::Header(const std::string& id)> identity;
  std::function<EngineHead(const http::HttpHead&)> read_engine_head;
  std::function<routes::FleetConfiguration(std::string_view)>
      read_configuration;
  std::function<batches::SubmitBatch(const http::HttpRequest&)> read_batch;
  std::function<BatchCall(const http::HttpRequest&)> read_batch_call;
  std::function<std::string(const batches::ResultPage&)> write_results;
  std::function<OperatorCall(const http::HttpRequest&)> read_operator_call;
  std::function<std::string(const coordination::StoreState&)> write_store;
  /// Where an engine tells its own load, and what it says there.
  std::string report_target;
  std::function<EngineLoad(std::string_view)> read_report;
  std::function<std::string(const std::string& page)> list_target;
  std::function<EnginePage(std::string_view)> read_engine_page;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_DIALECT_H_
